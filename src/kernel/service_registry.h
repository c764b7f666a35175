/// @file
/// The micro-kernel of a process: services register under a name and find each other by it.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <typeindex>
#include <utility>

namespace shedshed {

/// Maps names to services. Filled while the process starts, on one thread; read-only afterwards,
/// so that any thread may look up without a lock. Does not own the services.
class ServiceRegistry {
 public:
  /// Registers @p service under @p name. Throws std::logic_error if the name is taken: a wiring
  /// mistake that must stop the process at its start.
  template <class Interface>
  void add(const std::string& name, Interface& service) {
    const Entry entry{std::type_index(typeid(Interface)), &service};
    if (!services_.emplace(name, entry).second) {
      throw std::logic_error("service registered twice: " + name);
    }
  }

  /// Returns the service registered under @p name. Throws std::logic_error if there is none or it
  /// has another interface.
  template <class Interface>
  Interface& get(const std::string& name) const {
    const auto found = services_.find(name);
    if (found == services_.end()) {
      throw std::logic_error("no such service: " + name);
    }
    if (found->second.type != std::type_index(typeid(Interface))) {
      throw std::logic_error("service has another interface: " + name);
    }
    return *static_cast<Interface*>(found->second.service);
  }

 private:
  struct Entry {
    std::type_index type;
    void* service;
  };
  std::map<std::string, Entry> services_;
};

}  // namespace shedshed
