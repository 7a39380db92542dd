// The settings in force, with indexes of classes that stay valid while requests of a class are open.
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

// Gives each class an index. A class whose settings change gets a new index, to which its name refers from
// then on; requests that are open stay with the previous index, which is reused once no request refers to it.
class ActiveSettings {
 public:
  using ClassIndexByName = std::map<std::string, routing::ClassIndex, std::less<>>;

  // Settings that were prepared and are not in force yet.
  struct Prepared {
    // As the operator configured them.
    routing::Settings configured;
    // The same with the table of classes that open requests refer to.
    routing::Settings active;
    ClassIndexByName class_index_by_name;
  };

  // Prepares settings for `process_count` processes that share this dispatcher's work. Changes nothing.
  [[nodiscard]] Prepared prepare(const routing::Settings& configured, std::size_t process_count) const;

  // Puts prepared settings in force. No request may be added or removed after they were prepared.
  void activate(Prepared prepared);

  // The settings in force as the operator configured them.
  [[nodiscard]] const routing::Settings& configured() const { return configured_; }
  // The settings in force with the table of all classes that are in use.
  [[nodiscard]] const routing::Settings& active() const { return active_; }
  // The reference is valid until settings are activated.
  [[nodiscard]] const routing::ClassSettings& class_settings(routing::ClassIndex index) const {
    return active_.classes[index];
  }

  [[nodiscard]] std::optional<routing::ClassIndex> find_class(std::string_view name) const;
  [[nodiscard]] std::optional<std::uint32_t> find_tenant(std::string_view name) const;
  [[nodiscard]] bool has_tenants() const { return !tenant_index_by_name_.empty(); }

  // A request of the class is open from now on, and its index stays valid as long.
  void add_request(routing::ClassIndex index) { ++open_requests_[index]; }
  // The request is no longer open.
  void remove_request(routing::ClassIndex index) { --open_requests_[index]; }

 private:
  [[nodiscard]] std::optional<routing::ClassIndex> find_unchanged(const routing::ClassSettings& cls) const;

  routing::Settings configured_;
  routing::Settings active_;
  std::vector<std::size_t> open_requests_;  // by class index
  ClassIndexByName class_index_by_name_;
  std::map<std::string, std::uint32_t, std::less<>> tenant_index_by_name_;
};

}  // namespace rookproxy
