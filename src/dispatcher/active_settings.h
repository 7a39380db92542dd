// The settings in force, with class indexes that stay valid while requests of a class are open.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rookproxy/routing/router.h"

namespace rookproxy {

// Assigns an index to each class. A class whose settings change gets a new index, which its name refers to
// from then on. Open requests keep the previous index, which is reused when no request refers to it any more.
class ActiveSettings {
 public:
  using ClassIndexByName = std::map<std::string, routing::ClassIndex, std::less<>>;

  // Settings that are prepared but not in force yet.
  struct Prepared {
    // The settings as configured.
    routing::Settings configured;
    // The same settings with the table of all classes that are in use, including those of open requests.
    routing::Settings active;
    ClassIndexByName class_index_by_name;
  };

  // Prepares settings for `process_count` processes that share the work of this dispatcher. Changes nothing.
  [[nodiscard]] Prepared prepare(const routing::Settings& configured, std::size_t process_count) const;

  // Puts prepared settings in force. No request may be added or removed between prepare() and this call.
  void activate(Prepared prepared);

  // The settings in force, as configured.
  [[nodiscard]] const routing::Settings& configured() const { return configured_; }
  // The settings in force, with the table of all classes that are in use.
  [[nodiscard]] const routing::Settings& active() const { return active_; }
  // The settings of the class. The reference is valid until the next activate().
  [[nodiscard]] const routing::ClassSettings& class_settings(routing::ClassIndex index) const {
    return active_.classes[index];
  }

  [[nodiscard]] std::optional<routing::ClassIndex> find_class(std::string_view name) const;
  [[nodiscard]] std::optional<std::uint32_t> find_tenant(std::string_view name) const;
  [[nodiscard]] bool has_tenants() const { return !tenant_index_by_name_.empty(); }

  // Counts an open request of the class, whose index stays valid until remove_request().
  void add_request(routing::ClassIndex index) { ++open_requests_[index]; }
  // Ends the effect of one add_request().
  void remove_request(routing::ClassIndex index) { --open_requests_[index]; }

 private:
  [[nodiscard]] std::optional<routing::ClassIndex> find_unchanged(const routing::ClassSettings& cls) const;

  routing::Settings configured_;
  routing::Settings active_;
  // The number of open requests by class index.
  std::vector<std::size_t> open_requests_;
  ClassIndexByName class_index_by_name_;
  std::map<std::string, std::uint32_t, std::less<>> tenant_index_by_name_;
};

}  // namespace rookproxy
