#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "filbertstair/document/parse.h"

// Guards against input on which ParseDocument throws, crashes, or returns neither a service nor
// problems. libFuzzer prescribes the function's name and parameters.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto result = filbertstair::document::ParseDocument(text, "fuzz");
  if (result.service.has_value() != result.problems.empty()) std::abort();
  return 0;
}
