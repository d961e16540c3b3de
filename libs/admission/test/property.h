#ifndef FILBERTSTAIR_ADMISSION_TEST_PROPERTY_H_
#define FILBERTSTAIR_ADMISSION_TEST_PROPERTY_H_

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <sstream>
#include <utility>
#include <vector>

#include "filbertstair/core/types.h"

namespace filbertstair::admission {

inline auto At(double seconds) -> core::Time {
  return core::Time(std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6)));
}

// Checks a property in `runs` generated cases. The seed is fixed so that failures are reproducible.
template <typename Testable>
auto CheckProperty(int runs, Testable&& testable) -> void {
  rc::detail::TestParams params;
  params.seed = 20261204;
  params.maxSuccess = runs;
  const auto result = rc::detail::checkTestable(std::forward<Testable>(testable),
                                                rc::detail::TestMetadata{}, params);
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  CPPUNIT_ASSERT_MESSAGE(message.str(), result.template is<rc::detail::SuccessResult>());
}

// Generates random integers from which a property derives its steps.
inline auto RandomWords() -> rc::Gen<std::vector<std::uint32_t>> {
  return rc::gen::withSize([](int size) {
    return rc::gen::resize(3 * size, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::resize(
                                         100, rc::gen::inRange<std::uint32_t>(0, 1U << 30U))));
  });
}

// Splits a random integer into a sequence of choices.
struct Choices {
  std::uint32_t word = 0;
  auto Next(std::size_t count) -> std::size_t {
    const auto choice = this->word % count;
    this->word /= static_cast<std::uint32_t>(count);
    return choice;
  }
};

}  // namespace filbertstair::admission

#endif  // FILBERTSTAIR_ADMISSION_TEST_PROPERTY_H_
