#include "filbertstair/config/object.h"

#include <xxhash.h>

#include <utility>

namespace filbertstair::config {

auto ContentHash(std::string_view content) -> std::uint64_t {
  return XXH64(content.data(), content.size(), 0);
}

auto MakeObject(ObjectKind kind, std::string name, std::uint64_t version, std::string content)
    -> ObjectPtr {
  auto object = std::make_shared<Object>();
  object->key = {.kind = kind, .name = std::move(name)};
  object->stamp = {.version = version, .hash = ContentHash(content)};
  object->content = std::move(content);
  return object;
}

}  // namespace filbertstair::config
