#include "filbertstair/membership/vm_list.h"

#include <yaml-cpp/yaml.h>

#include <boost/json.hpp>
#include <charconv>
#include <set>
#include <utility>

namespace filbertstair::membership {
namespace {

namespace json = boost::json;

// Converts YAML to JSON, so that both forms pass the same validation. Only plain scalars become
// numbers; a quoted number stays text.
auto FromYaml(const YAML::Node& node) -> json::value {
  if (node.IsMap()) {
    json::object object;
    for (const auto& pair : node) object[pair.first.as<std::string>()] = FromYaml(pair.second);
    return object;
  }
  if (node.IsSequence()) {
    json::array array;
    for (const auto& item : node) array.push_back(FromYaml(item));
    return array;
  }
  if (!node.IsScalar()) return nullptr;
  const auto& text = node.Scalar();
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool plain = node.Tag() == "?";
  if (plain && error == std::errc{} && end == text.data() + text.size()) return number;
  return json::string(text);
}

// Parses JSON with Boost.JSON, which takes a hundredth of the time of yaml-cpp: the list of 11,200
// VMs is parsed by every node at each change.
auto ParseText(std::string_view text) -> json::value {
  const auto start = text.find_first_not_of(" \t\r\n");
  if (start != std::string_view::npos && text[start] == '{') {
    boost::system::error_code error;
    auto value = json::parse(json::string_view(text.data(), text.size()), error);
    if (!error) return value;
  }
  return FromYaml(YAML::Load(std::string(text)));
}

struct Reader {
  std::string file;
  std::vector<std::string> problems;
};

auto AddProblem(Reader& reader, const std::string& where, const std::string& message) -> void {
  reader.problems.push_back(reader.file + ": " + where + ": " + message);
}

auto ReadText(Reader& reader, const json::object& object, const std::string& where,
              const char* name, bool required) -> std::string {
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) {
    if (value != nullptr || required) AddProblem(reader, where + "." + name, "text is required");
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
  const auto value = core::Parse<E>(text);
  if (!value && !text.empty()) {
    AddProblem(reader, where + "." + name, "unknown value \"" + text + "\"");
  }
  return value.value_or(E{});
}

auto IsAddress(const std::string& address) -> bool {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0) return false;
  unsigned port = 0;
  const auto* last = address.data() + address.size();
  const auto [end, error] = std::from_chars(address.data() + colon + 1, last, port);
  return error == std::errc{} && end == last && port >= 1 && port <= 65535;
}

auto ReadVm(Reader& reader, const json::value& value, const std::string& where) -> Vm {
  Vm vm;
  const auto* object = value.if_object();
  if (object == nullptr) {
    AddProblem(reader, where, "a map is required");
    return vm;
  }
  vm.id = ReadText(reader, *object, where, "id", true);
  vm.role = ReadEnum<core::Role>(reader, *object, where, "role");
  vm.address = ReadText(reader, *object, where, "address", true);
  vm.region = ReadText(reader, *object, where, "region", true);
  vm.failure_domain = ReadText(reader, *object, where, "failure_domain", false);
  vm.pool = ReadText(reader, *object, where, "pool", false);
  vm.state = ReadEnum<VmState>(reader, *object, where, "state");
  if (!vm.address.empty() && !IsAddress(vm.address)) {
    AddProblem(reader, where + ".address", "\"" + vm.address + "\" is not ip:port");
  }
  if (vm.role == core::Role::endpoint && vm.pool.empty()) {
    AddProblem(reader, where + ".pool", "an endpoint needs a pool");
  }
  return vm;
}

auto ReadList(Reader& reader, const json::value& value) -> VmList {
  VmList list;
  const auto* object = value.if_object();
  if (object == nullptr) {
    AddProblem(reader, "list", "a map is required");
    return list;
  }
  const auto* revision = object->if_contains("revision");
  boost::system::error_code error;
  if (revision != nullptr) list.revision = revision->to_number<std::uint64_t>(error);
  if (error || list.revision == 0) AddProblem(reader, "revision", "must be 1 or more");
  const auto* vms = object->if_contains("vms");
  const auto* rows = vms == nullptr ? nullptr : vms->if_array();
  if (rows == nullptr) {
    AddProblem(reader, "vms", "a list is required");
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
    list = ReadList(reader, ParseText(text));
  } catch (const std::exception& error) {
    AddProblem(reader, "list", error.what());
  }
  if (!reader.problems.empty()) return {.list = std::nullopt, .problems = reader.problems};
  return {.list = std::move(list), .problems = {}};
}

}  // namespace filbertstair::membership
