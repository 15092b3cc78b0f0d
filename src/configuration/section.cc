#include "configuration/section.h"

#include "toml/toml_reader.h"

namespace jujubefront {
namespace {

constexpr std::int64_t kMaxTier = 250;
constexpr std::int64_t kMaxConcurrency = 1'000'000;

void ReadClass(const IssueCollector& collector, const std::string& name,
               const toml::table& table, Section& section) {
  const std::string path = "classes." + name + ".";
  RejectUnknownKeys(collector, table, path, {"tier", "idempotent", "deadline"});
  CallClass call_class{.name_ = name};
  const auto tier = ReadInteger(collector, table, path, "tier", kMaxTier);
  const auto idempotent =
      ReadRequired<bool>(collector, table, path, "idempotent", "true or false");
  const auto deadline = ReadDuration(collector, table, path, "deadline");
  if (!tier || !idempotent || !deadline) return;
  call_class.tier_ = static_cast<std::uint8_t>(*tier);
  call_class.idempotent_ = *idempotent;
  call_class.deadline_ = *deadline;
  section.classes_.emplace(name, std::move(call_class));
}

void ReadOperation(const IssueCollector& collector, const std::string& path,
                   const toml::table& table, ServiceEntry& service) {
  RejectUnknownKeys(collector, table, path, {"method", "path", "class"});
  const auto method =
      ReadRequired<std::string>(collector, table, path, "method", "a string");
  const auto prefix =
      ReadRequired<std::string>(collector, table, path, "path", "a string");
  const auto class_name =
      ReadRequired<std::string>(collector, table, path, "class", "a string");
  if (!method || !prefix || !class_name) return;
  if (prefix->empty() || prefix->front() != '/') {
    Report(collector, IssueKind::kOutOfRange, *table.get("path"), path + "path",
           "expected a path that begins with /");
    return;
  }
  service.operations_.push_back({.method_ = *method,
                                 .path_prefix_ = *prefix,
                                 .class_name_ = *class_name});
}

void ReadOperations(const IssueCollector& collector, const std::string& path,
                    const toml::table& table, ServiceEntry& service) {
  const toml::node* node = table.get("operations");
  const toml::array* operations = node ? node->as_array() : nullptr;
  if (operations == nullptr || operations->empty()) {
    Report(collector, node ? IssueKind::kWrongType : IssueKind::kMissingKey,
           node ? *node : table, path + "operations",
           "expected a list of tables");
    return;
  }
  for (const toml::node& entry : *operations) {
    if (const toml::table* operation = entry.as_table()) {
      ReadOperation(collector, path + "operations.", *operation, service);
    } else {
      Report(collector, IssueKind::kWrongType, entry, path + "operations",
             "expected a table");
    }
  }
}

void ReadService(const IssueCollector& collector, const std::string& name,
                 const toml::table& table, Section& section) {
  const std::string path = "services." + name + ".";
  RejectUnknownKeys(collector, table, path, {"operations", "max_concurrency"});
  ServiceEntry service{.name_ = name};
  ReadOperations(collector, path, table, service);
  if (table.contains("max_concurrency")) {
    const auto limit =
        ReadInteger(collector, table, path, "max_concurrency", kMaxConcurrency);
    if (limit) service.max_concurrency_ = static_cast<std::uint32_t>(*limit);
  }
  section.services_.emplace(name, std::move(service));
}

}  // namespace

ParsedSection ParseSection(std::string_view text) {
  ParsedSection parsed;
  if (text.size() > kMaxSectionBytes) {
    parsed.issues_.push_back(
        {.kind_ = IssueKind::kTooLarge,
         .detail_ = "at most " + std::to_string(kMaxSectionBytes) + " bytes"});
    return parsed;
  }
  const IssueCollector collector{parsed.issues_};
  const std::optional<toml::table> document = ParseToml(collector, text);
  if (!document) return parsed;
  const toml::table& root = *document;
  RejectUnknownKeys(collector, root, "", {"owner", "classes", "services"});
  const auto owner =
      ReadRequired<std::string>(collector, root, "", "owner", "a string");
  parsed.section_.owner_ = owner.value_or("");
  ReadTables(collector, root, "classes",
             [&](const std::string& name, const toml::table& table) {
               ReadClass(collector, name, table, parsed.section_);
             });
  ReadTables(collector, root, "services",
             [&](const std::string& name, const toml::table& table) {
               ReadService(collector, name, table, parsed.section_);
             });
  return parsed;
}

const Operation* FindOperation(const ServiceEntry& service,
                               std::string_view method, std::string_view path) {
  const Operation* best = nullptr;
  for (const Operation& operation : service.operations_) {
    if (operation.method_ != method) continue;
    if (!path.starts_with(operation.path_prefix_)) continue;
    if (best != nullptr &&
        best->path_prefix_.size() >= operation.path_prefix_.size()) {
      continue;
    }
    best = &operation;
  }
  return best;
}

}  // namespace jujubefront
