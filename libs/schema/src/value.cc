#include "filbertstair/schema/value.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

#include <boost/locale/utf.hpp>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

namespace filbertstair::schema {
namespace {

// Thrown out of the parser, which would recurse further, by the handler of its events.
struct TooDeep {
  int line = 0;
};

auto Line(const YAML::Mark& mark) -> int { return mark.line + 1; }

// Builds a Value from the parser's events. YAML::Node is not used because it hides aliases, whose
// expansion can make a small document arbitrarily large, and the quoting of scalars.
class Builder : public YAML::EventHandler {
 public:
  explicit Builder(Report& report) : report(report) {}

  auto Documents() const -> int { return this->documents; }
  auto Root() -> Value { return std::move(this->root); }

  auto OnDocumentStart(const YAML::Mark& mark) -> void override {
    if (++this->documents == 2) {
      Add(this->report, Line(mark), "", "a second document or a stray character",
          "one document in each file");
    }
  }
  auto OnDocumentEnd() -> void override {}

  auto OnNull(const YAML::Mark& mark, YAML::anchor_t) -> void override {
    this->Attach({.kind = Kind::null, .line = Line(mark)});
  }

  auto OnAlias(const YAML::Mark& mark, YAML::anchor_t) -> void override {
    Add(this->report, Line(mark), "", "an alias", "values without aliases");
    this->Attach({.kind = Kind::null, .line = Line(mark)});
  }

  auto OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t,
                const std::string& value) -> void override {
    if (tag != "?" && tag != "!") this->RefuseTag(mark, tag);
    this->Attach({.kind = Kind::scalar, .line = Line(mark), .text = value, .quoted = tag != "?"});
  }

  auto OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t,
                       YAML::EmitterStyle::value) -> void override {
    if (tag != "?") this->RefuseTag(mark, tag);
    this->Open(mark, Kind::list);
  }

  auto OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t,
                  YAML::EmitterStyle::value) -> void override {
    if (tag != "?") this->RefuseTag(mark, tag);
    this->Open(mark, Kind::map);
  }

  auto OnSequenceEnd() -> void override { this->Close(); }
  auto OnMapEnd() -> void override { this->Close(); }

  auto OnAnchor(const YAML::Mark& mark, const std::string& name) -> void override {
    Add(this->report, Line(mark), "", "anchor " + name, "values without anchors");
  }

 private:
  // A list or map whose end has not been reached, with the key that waits for its value.
  struct Frame {
    Value value;
    std::optional<Value> key{};
  };

  auto RefuseTag(const YAML::Mark& mark, const std::string& tag) -> void {
    // The parser reports an absent tag of a list or map as an empty text in some places.
    if (!tag.empty()) Add(this->report, Line(mark), "", "tag " + tag, "values without tags");
  }

  auto Open(const YAML::Mark& mark, Kind kind) -> void {
    if (this->open.size() >= kMaxDepth) throw TooDeep{Line(mark)};
    this->open.push_back({.value = {.kind = kind, .line = Line(mark)}});
  }

  auto Close() -> void {
    auto value = std::move(this->open.back().value);
    this->open.pop_back();
    this->Attach(std::move(value));
  }

  auto Attach(Value value) -> void {
    if (this->open.empty()) {
      if (this->documents <= 1) this->root = std::move(value);
      return;
    }
    auto& frame = this->open.back();
    if (frame.value.kind == Kind::list) {
      frame.value.items.push_back(std::move(value));
    } else if (!frame.key) {
      if (value.kind != Kind::scalar) {
        Add(this->report, value.line, "", std::string(core::Name(value.kind)) + " as a field name",
            "text");
      }
      frame.key = std::move(value);
    } else {
      value.name = std::move(frame.key->text);
      value.name_line = frame.key->line;
      frame.value.items.push_back(std::move(value));
      frame.key.reset();
    }
  }

  Report& report;
  Value root;
  std::vector<Frame> open;
  int documents = 0;
};

// Refuses control characters and text that is not UTF-8. The YAML library takes byte 4 for the end
// of the text, so that all that follows it would be ignored, and replaces malformed UTF-8 silently.
auto CheckText(std::string_view text, Report& report) -> bool {
  using Utf8 = boost::locale::utf::utf_traits<char>;
  int line = 1;
  for (const auto* position = text.begin(); position != text.end();) {
    const auto point = Utf8::decode(position, text.end());
    if (point == boost::locale::utf::illegal || point == boost::locale::utf::incomplete) {
      Add(report, line, "", "bytes that are not UTF-8", "UTF-8 text");
      return false;
    }
    if (point == '\n') ++line;
    if ((point < 0x20 && point != '\n' && point != '\r' && point != '\t') || point == 0x7f) {
      Add(report, line, "", "control character " + std::to_string(point), "printable text");
      return false;
    }
  }
  return true;
}

}  // namespace

auto Load(std::string_view text, std::size_t max_bytes, Report& report) -> std::optional<Value> {
  if (text.size() > max_bytes) {
    Add(report, 0, "", "more than " + std::to_string(max_bytes) + " bytes",
        "at most " + std::to_string(max_bytes) + " bytes");
    return std::nullopt;
  }
  if (!CheckText(text, report)) return std::nullopt;
  const auto before = report.problems.size();
  Builder builder(report);
  try {
    std::istringstream stream{std::string(text)};
    YAML::Parser parser(stream);
    // Stops at the second document: over a stray token such as a leading ',' the parser reports
    // empty documents without end.
    while (builder.Documents() < 2 && parser.HandleNextDocument(builder)) {
    }
  } catch (const TooDeep& error) {
    Add(report, error.line, "", "lists or maps nested too deeply",
        "at most " + std::to_string(kMaxDepth) + " levels");
  } catch (const YAML::Exception& error) {
    Add(report, Line(error.mark), "", "malformed YAML: " + error.msg, "well-formed YAML");
  }
  if (report.problems.size() > before) return std::nullopt;
  return builder.Root();
}

auto ReadFile(const std::string& path, std::size_t max_bytes, core::Step step) -> std::string {
  std::error_code error;
  if (std::filesystem::is_directory(path, error)) {
    throw core::Error(step, path, "cannot read the file: it is a directory");
  }
  errno = 0;
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw core::Error(step, path,
                      "cannot open the file: " + std::generic_category().message(errno));
  }
  std::string text(max_bytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad()) throw core::Error(step, path, "cannot read the file");
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

}  // namespace filbertstair::schema
