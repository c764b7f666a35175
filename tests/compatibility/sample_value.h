/// @file
/// Fills any `MSGPACK_DEFINE` struct with fixed sample values.
#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <vector>

namespace shedshed::test {

/// Visits the fields of a struct in their encoded order and gives each one a value of its own, so
/// that two fields that change places change the bytes. Stands in for a `msgpack::packer`: the
/// generated `msgpack_pack` hands it each field by reference.
class SampleFiller {
 public:
  // NOLINTNEXTLINE(readability-identifier-naming): the name that msgpack calls.
  SampleFiller& pack_array(std::uint32_t) { return *this; }

  template <class T>
  SampleFiller& pack(const T& field) {
    // The visited object belongs to `sampleOf` and is not const.
    fill(const_cast<T&>(field));
    return *this;
  }

 private:
  template <class T>
  std::enable_if_t<std::is_class_v<T>> fill(T& value) {
    value.msgpack_pack(*this);
  }
  template <class T>
  std::enable_if_t<std::is_arithmetic_v<T>> fill(T& value) {
    value = static_cast<T>(++next_);
  }
  template <class T>
  std::enable_if_t<std::is_enum_v<T>> fill(T& value) {
    value = static_cast<T>(1);
  }
  void fill(bool& value) { value = ++next_ % 2 != 0; }
  void fill(std::string& value) { value = "text-" + std::to_string(++next_); }
  template <class T>
  void fill(std::vector<T>& value) {
    value.resize(2);
    for (T& element : value) {
      fill(element);
    }
  }
  template <class T>
  void fill(std::set<T>& value) {
    T element{};
    fill(element);
    value.insert(element);
  }
  template <class K, class V>
  void fill(std::map<K, V>& value) {
    K key{};
    fill(key);
    fill(value[key]);
  }
  template <class T>
  void fill(std::optional<T>& value) {
    fill(value.emplace());
  }

  int next_ = 0;
};

/// Returns a `T` with a fixed, distinct value in each field.
template <class T>
T sampleOf() {
  T value{};
  SampleFiller filler;
  value.msgpack_pack(filler);
  return value;
}

}  // namespace shedshed::test
