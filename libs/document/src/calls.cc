#include "filbertstair/document/calls.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <vector>

namespace filbertstair::document {
namespace {

// Decodes percent-encoded bytes once and leaves malformed sequences unchanged.
auto DecodePercent(std::string_view path) -> std::string {
  std::string result;
  for (std::size_t i = 0; i < path.size(); ++i) {
    unsigned byte = 0;
    const auto* digits = path.data() + i + 1;
    if (path[i] == '%' && i + 2 < path.size() &&
        std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2) {
      result += static_cast<char>(byte);
      i += 2;
    } else {
      result += path[i];
    }
  }
  return result;
}

// Removes empty and "." segments and resolves ".." segments.
auto ResolveSegments(std::string_view path) -> std::string {
  std::vector<std::string_view> segments;
  bool final_slash = false;
  for (std::size_t begin = 0; begin < path.size();) {
    const auto end = std::min(path.find('/', begin), path.size());
    const auto segment = path.substr(begin, end - begin);
    final_slash = end < path.size() || segment == "." || segment == "..";
    if (segment == "..") {
      if (!segments.empty()) segments.pop_back();
    } else if (!segment.empty() && segment != ".") {
      segments.push_back(segment);
    }
    begin = end + 1;
  }
  std::string result;
  for (const auto segment : segments) result.append("/").append(segment);
  if (final_slash || result.empty()) result += '/';
  return result;
}

auto MatchesMethod(std::string_view rule, std::string_view method) -> bool {
  return rule == "*" ||
         std::equal(rule.begin(), rule.end(), method.begin(), method.end(), [](char a, char b) {
           return a == (b >= 'a' && b <= 'z' ? static_cast<char>(b - 32) : b);
         });
}

}  // namespace

auto ClassifyCall(const Service& service, std::string_view method, std::string_view path)
    -> core::CallClass {
  if (service.once.empty()) return core::CallClass::repeatable;
  const auto written = path.substr(0, path.find_first_of("?#"));
  const auto resolved = ResolveSegments(DecodePercent(written));
  for (const auto& rule : service.once) {
    if (!MatchesMethod(rule.method, method)) continue;
    if (written.starts_with(rule.path) || resolved.starts_with(rule.path)) {
      return core::CallClass::once;
    }
  }
  return core::CallClass::repeatable;
}

}  // namespace filbertstair::document
