#include "filbertstair/membership/vm_list.h"

#include <boost/json.hpp>
#include <charconv>
#include <set>
#include <utility>

#include "filbertstair/core/address.h"
#include "filbertstair/schema/read.h"

namespace filbertstair::membership {
namespace {

namespace json = boost::json;

// Limit for YAML input in bytes. A list of 11,200 VMs takes 1.8 MB.
constexpr std::size_t kMaxYamlBytes = std::size_t{8} << 20;

// Source name and collected problems of one parse.
struct Reader {
  std::string file;
  std::vector<std::string> problems;
};

// Converts YAML to JSON, so that both formats use the same validation. Only plain scalars become
// numbers; quoted numbers stay strings.
auto ToJson(const schema::Value& value) -> json::value {
  if (value.kind == schema::Kind::map) {
    json::object object;
    for (const auto& field : value.items) object[field.name] = ToJson(field);
    return object;
  }
  if (value.kind == schema::Kind::list) {
    json::array array;
    for (const auto& item : value.items) array.push_back(ToJson(item));
    return array;
  }
  if (value.kind == schema::Kind::null) return nullptr;
  std::uint64_t number = 0;
  const auto* last = value.text.data() + value.text.size();
  const auto [end, error] = std::from_chars(value.text.data(), last, number);
  if (!value.quoted && error == std::errc{} && end == last) return number;
  return json::string(value.text);
}

// Parses JSON with Boost.JSON, and other input as YAML. Every node parses the list, of up to 11,200
// VMs, at each change, and Boost.JSON takes a hundredth of the time of yaml-cpp.
auto ParseText(Reader& reader, std::string_view text) -> std::optional<json::value> {
  const auto start = text.find_first_not_of(" \t\r\n");
  if (start != std::string_view::npos && text[start] == '{') {
    boost::system::error_code error;
    auto value = json::parse(json::string_view(text.data(), text.size()), error);
    if (!error) return value;
  }
  schema::ProblemReport report{.file = reader.file};
  const auto value = schema::LoadYaml(text, kMaxYamlBytes, report);
  for (const auto& problem : schema::TakeProblems(std::move(report))) {
    reader.problems.push_back(schema::Describe(problem));
  }
  return value ? std::optional(ToJson(*value)) : std::nullopt;
}

auto AddProblem(Reader& reader, const std::string& where, const std::string& message) -> void {
  reader.problems.push_back(reader.file + ": " + where + ": " + message);
}

auto ReadText(Reader& reader, const json::object& object, const std::string& where,
              const char* name, bool required) -> std::string {
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) {
    if (value != nullptr || required) AddProblem(reader, where + "." + name, "must be a string");
    return {};
  }
  const auto& text = value->get_string();
  if (required && text.empty()) AddProblem(reader, where + "." + name, "must not be empty");
  return {text.data(), text.size()};
}

template <typename E>
auto ReadEnum(Reader& reader, const json::object& object, const std::string& where,
              const char* name) -> E {
  const auto text = ReadText(reader, object, where, name, true);
  const auto value = core::ParseName<E>(text);
  if (!value && !text.empty()) {
    AddProblem(reader, where + "." + name, "unknown value \"" + text + "\"");
  }
  return value.value_or(E{});
}

// Reads a name, which must be an identifier as in the settings file.
auto ReadName(Reader& reader, const json::object& object, const std::string& where,
              const char* name, bool required) -> std::string {
  auto text = ReadText(reader, object, where, name, required);
  if (!text.empty() && !schema::kIdentifier.accepts(text)) {
    AddProblem(reader, where + "." + name, "must be " + std::string(schema::kIdentifier.allowed));
  }
  return text;
}

auto ReadVm(Reader& reader, const json::value& value, const std::string& where) -> Vm {
  Vm vm;
  const auto* object = value.if_object();
  if (object == nullptr) {
    AddProblem(reader, where, "must be a map");
    return vm;
  }
  vm.id = ReadName(reader, *object, where, "id", true);
  vm.role = ReadEnum<core::Role>(reader, *object, where, "role");
  vm.address = ReadText(reader, *object, where, "address", true);
  vm.region = ReadName(reader, *object, where, "region", true);
  vm.failure_domain = ReadName(reader, *object, where, "failure_domain", false);
  vm.pool = ReadName(reader, *object, where, "pool", false);
  vm.state = ReadEnum<VmState>(reader, *object, where, "state");
  if (!vm.address.empty() && !core::ParseConnectAddress(vm.address)) {
    AddProblem(reader, where + ".address",
               "must be an IP address and a port from 1 to 65535, for example 127.0.0.1:8080");
  }
  if (vm.role == core::Role::endpoint && vm.pool.empty()) {
    AddProblem(reader, where + ".pool", "is required for an endpoint");
  }
  return vm;
}

auto ReadVmList(Reader& reader, const json::value& value) -> VmList {
  VmList list;
  const auto* object = value.if_object();
  if (object == nullptr) {
    AddProblem(reader, "list", "must be a map");
    return list;
  }
  const auto* revision = object->if_contains("revision");
  boost::system::error_code error;
  if (revision != nullptr) list.revision = revision->to_number<std::uint64_t>(error);
  if (error || list.revision == 0) AddProblem(reader, "revision", "must be 1 or more");
  const auto* vms = object->if_contains("vms");
  const auto* rows = vms == nullptr ? nullptr : vms->if_array();
  if (rows == nullptr) {
    AddProblem(reader, "vms", "must be a list");
    return list;
  }
  std::set<std::string> ids;
  for (const auto& row : *rows) {
    const auto where = "vms[" + std::to_string(list.vms.size()) + "]";
    list.vms.push_back(ReadVm(reader, row, where));
    const auto& id = list.vms.back().id;
    if (!id.empty() && !ids.insert(id).second) {
      AddProblem(reader, where + ".id", "\"" + id + "\" is listed twice");
    }
  }
  return list;
}

}  // namespace

auto ParseVmList(std::string_view text, std::string_view file) -> ParsedVmList {
  Reader reader{.file = std::string(file), .problems = {}};
  VmList list;
  try {
    if (const auto value = ParseText(reader, text)) list = ReadVmList(reader, *value);
  } catch (const std::exception& error) {
    AddProblem(reader, "list", error.what());
  }
  if (!reader.problems.empty()) return {.list = std::nullopt, .problems = reader.problems};
  return {.list = std::move(list), .problems = {}};
}

}  // namespace filbertstair::membership
