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

// Thrown by the event handler to stop the parser before it recurses further.
struct NestingTooDeep {
  int line = 0;
};

auto Line(const YAML::Mark& mark) -> int { return mark.line + 1; }

// Builds a Value from the parser's events. YAML::Node is not used because it hides the quoting of
// scalars and hides aliases, whose expansion can make a small document arbitrarily large.
class ValueBuilder : public YAML::EventHandler {
 public:
  explicit ValueBuilder(ProblemReport& report) : report(report) {}

  auto DocumentCount() const -> int { return this->document_count; }
  auto TakeRoot() -> Value { return std::move(this->root); }

  auto OnDocumentStart(const YAML::Mark& mark) -> void override {
    if (++this->document_count == 2) {
      AddProblem(this->report, Line(mark), "", "a second document or a stray character",
                 "one document in each file");
    }
  }
  auto OnDocumentEnd() -> void override {}

  auto OnNull(const YAML::Mark& mark, YAML::anchor_t) -> void override {
    this->AttachValue({.kind = Kind::null, .line = Line(mark)});
  }

  auto OnAlias(const YAML::Mark& mark, YAML::anchor_t) -> void override {
    AddProblem(this->report, Line(mark), "", "an alias", "values without aliases");
    this->AttachValue({.kind = Kind::null, .line = Line(mark)});
  }

  auto OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t,
                const std::string& value) -> void override {
    if (tag != "?" && tag != "!") this->RejectTag(mark, tag);
    this->AttachValue(
        {.kind = Kind::scalar, .line = Line(mark), .text = value, .quoted = tag != "?"});
  }

  auto OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t,
                       YAML::EmitterStyle::value) -> void override {
    if (tag != "?") this->RejectTag(mark, tag);
    this->OpenFrame(mark, Kind::list);
  }

  auto OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t,
                  YAML::EmitterStyle::value) -> void override {
    if (tag != "?") this->RejectTag(mark, tag);
    this->OpenFrame(mark, Kind::map);
  }

  auto OnSequenceEnd() -> void override { this->CloseFrame(); }
  auto OnMapEnd() -> void override { this->CloseFrame(); }

  auto OnAnchor(const YAML::Mark& mark, const std::string& name) -> void override {
    AddProblem(this->report, Line(mark), "", "anchor " + name, "values without anchors");
  }

 private:
  // A list or map whose end event is pending, with the map key whose value is pending.
  struct Frame {
    Value value;
    std::optional<Value> key{};
  };

  auto RejectTag(const YAML::Mark& mark, const std::string& tag) -> void {
    // For some lists and maps the parser reports an absent tag as an empty string.
    if (!tag.empty()) AddProblem(this->report, Line(mark), "", "tag " + tag, "values without tags");
  }

  auto OpenFrame(const YAML::Mark& mark, Kind kind) -> void {
    if (this->open_frames.size() >= kMaxNestingDepth) throw NestingTooDeep{Line(mark)};
    this->open_frames.push_back({.value = {.kind = kind, .line = Line(mark)}});
  }

  auto CloseFrame() -> void {
    auto value = std::move(this->open_frames.back().value);
    this->open_frames.pop_back();
    this->AttachValue(std::move(value));
  }

  auto AttachValue(Value value) -> void {
    if (this->open_frames.empty()) {
      if (this->document_count <= 1) this->root = std::move(value);
      return;
    }
    auto& frame = this->open_frames.back();
    if (frame.value.kind == Kind::list) {
      frame.value.items.push_back(std::move(value));
    } else if (!frame.key) {
      if (value.kind != Kind::scalar) {
        AddProblem(this->report, value.line, "",
                   std::string(core::Name(value.kind)) + " as a field name", "text");
      }
      frame.key = std::move(value);
    } else {
      value.name = std::move(frame.key->text);
      value.name_line = frame.key->line;
      frame.value.items.push_back(std::move(value));
      frame.key.reset();
    }
  }

  ProblemReport& report;
  Value root;
  std::vector<Frame> open_frames;
  int document_count = 0;
};

// Rejects control characters and text that is not UTF-8. The YAML library treats byte 4 as the end
// of the text, so that everything after it would be ignored, and silently replaces malformed UTF-8.
auto CheckEncoding(std::string_view text, ProblemReport& report) -> bool {
  using Utf8 = boost::locale::utf::utf_traits<char>;
  int line = 1;
  for (const auto* position = text.begin(); position != text.end();) {
    const auto point = Utf8::decode(position, text.end());
    if (point == boost::locale::utf::illegal || point == boost::locale::utf::incomplete) {
      AddProblem(report, line, "", "bytes that are not UTF-8", "UTF-8 text");
      return false;
    }
    if (point == '\n') ++line;
    if ((point < 0x20 && point != '\n' && point != '\r' && point != '\t') || point == 0x7f) {
      AddProblem(report, line, "", "control character " + std::to_string(point), "printable text");
      return false;
    }
  }
  return true;
}

}  // namespace

auto LoadYaml(std::string_view text, std::size_t max_bytes, ProblemReport& report)
    -> std::optional<Value> {
  if (text.size() > max_bytes) {
    AddProblem(report, 0, "", "more than " + std::to_string(max_bytes) + " bytes",
               "at most " + std::to_string(max_bytes) + " bytes");
    return std::nullopt;
  }
  if (!CheckEncoding(text, report)) return std::nullopt;
  const auto before = report.problems.size();
  ValueBuilder builder(report);
  try {
    std::istringstream stream{std::string(text)};
    YAML::Parser parser(stream);
    // Stops at the second document, because the parser reports an endless series of empty documents
    // at a stray token such as a leading ','.
    while (builder.DocumentCount() < 2 && parser.HandleNextDocument(builder)) {
    }
  } catch (const NestingTooDeep& error) {
    AddProblem(report, error.line, "", "lists or maps nested too deeply",
               "at most " + std::to_string(kMaxNestingDepth) + " levels");
  } catch (const YAML::Exception& error) {
    AddProblem(report, Line(error.mark), "", "malformed YAML: " + error.msg, "well-formed YAML");
  }
  if (report.problems.size() > before) return std::nullopt;
  return builder.TakeRoot();
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
