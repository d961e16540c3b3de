#ifndef FILBERTSTAIR_CONFIG_OBJECT_H_
#define FILBERTSTAIR_CONFIG_OBJECT_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>

#include "filbertstair/core/names.h"

namespace filbertstair::config {

// Kind of a published object, which selects its validator.
enum class ObjectKind { document, vm_list };

// Identifies a published object. A document and a VM list may have the same name.
struct ObjectKey {
  ObjectKind kind = ObjectKind::document;
  std::string name;

  auto operator==(const ObjectKey&) const -> bool = default;
  auto operator<=>(const ObjectKey& other) const -> std::strong_ordering {
    return std::tie(this->kind, this->name) <=> std::tie(other.kind, other.name);
  }
};

// Identifies and orders the contents of one object: by version, and by hash if two contents have
// the same version.
struct Stamp {
  std::uint64_t version = 0;
  std::uint64_t hash = 0;

  auto operator==(const Stamp&) const -> bool = default;
  auto operator<=>(const Stamp& other) const -> std::strong_ordering {
    return std::tie(this->version, this->hash) <=> std::tie(other.version, other.hash);
  }
};

// One version of a published object. Immutable, so that tables, messages and the requests admitted
// under this version can share it without a copy.
struct Object {
  ObjectKey key;
  Stamp stamp;
  std::string content;
};

using ObjectPtr = std::shared_ptr<const Object>;

// Returns the 64-bit xxHash of `content`.
auto ContentHash(std::string_view content) -> std::uint64_t;

// Creates an object and computes its hash. Receivers always compute the hash themselves, so that
// content corrupted in transit is not mistaken for the original.
auto MakeObject(ObjectKind kind, std::string name, std::uint64_t version, std::string content)
    -> ObjectPtr;

}  // namespace filbertstair::config

namespace filbertstair::core {
template <>
inline constexpr NameTable<config::ObjectKind, 2> kNames<config::ObjectKind>{
    {{config::ObjectKind::document, "document"}, {config::ObjectKind::vm_list, "vm_list"}}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_CONFIG_OBJECT_H_
