/// A client of a test cluster, in the frame protocol.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "frontend/frame_codec.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "support/scripted_engine.h"

namespace rookproxy::test {

/// Sends what it is told and reads what comes, within the test's own thread.
class ClusterClient {
 public:
  /// Connects to the frontend; throws std::runtime_error if that fails.
  ClusterClient(const SocketAddress& frontend, bool small_buffers);

  [[nodiscard]] std::uint32_t take_stream_id() { return next_stream_id_++; }
  void send(std::string_view bytes);

  /// Ends the connection; CloseKind::kCancelRequest is no way to do that.
  void disconnect(CloseKind kind);

  /// Reads what has come and passes each frame on; false if there was nothing to do.
  bool read_frames(const std::function<void(const frames::Frame&)>& on_frame);

  /// Whether it reads what comes.
  void set_reading(bool reading) { is_reading_ = reading; }

  [[nodiscard]] bool is_open() const { return static_cast<bool>(socket_); }
  [[nodiscard]] bool saw_end() const { return saw_end_; }
  /// The frontend closed the connection within a frame, before this client disconnected.
  [[nodiscard]] bool was_cut_off() const { return saw_end_ && !disconnected_ && !received_.empty(); }

 private:
  FileDescriptor socket_;
  std::string received_;
  bool saw_end_ = false;
  bool is_reading_ = true;
  bool disconnected_ = false;
  std::uint32_t next_stream_id_ = 1;
};

}  // namespace rookproxy::test
