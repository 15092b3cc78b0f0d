#include "settings/settings.h"

#include <fstream>
#include <sstream>

#include "settings/settings_reader.h"

namespace jujubefront {
namespace {

constexpr std::uint32_t kMaxCount = 1'000'000;
constexpr std::uint32_t kMaxBytes = 64 * 1024 * 1024;
constexpr Duration kMinTime = std::chrono::milliseconds(1);

const EnumNames<AdmissionPolicy> kAdmissionPolicies = {
    {"adaptive", AdmissionPolicy::kAdaptive},
    {"per-hop", AdmissionPolicy::kPerHop},
    {"fixed", AdmissionPolicy::kFixed},
    {"none", AdmissionPolicy::kNone}};

const EnumNames<RetryPolicy> kRetryPolicies = {
    {"credit", RetryPolicy::kCredit},
    {"fixed-per-hop", RetryPolicy::kFixedPerHop},
    {"never", RetryPolicy::kNever}};

const EnumNames<LogFormat> kLogFormats = {{"plain", LogFormat::kPlain},
                                          {"json", LogFormat::kJson}};

void VisitProcess(SettingsVisitor& visitor, NodeSettings& settings) {
  NodeOptions& node = settings.node_;
  visitor.Table("node");
  visitor.Required("name", node.name_);
  visitor.Required("zone", node.zone_);
  visitor.Required("region", node.region_);
  visitor.Required("service", node.service_);
  visitor.Number("max_depth", node.max_depth_, 1, 1000);
  visitor.Time("peer_timeout", node.peer_timeout_, kMinTime);
  visitor.Time("ask_interval", node.ask_interval_, kMinTime);
  visitor.Time("answer_grace", node.answer_grace_, kMinTime);
  visitor.Time("drain_quiet_time", node.drain_quiet_time_, kMinTime);
  visitor.Time("stop_deadline", node.stop_deadline_, kMinTime);
  visitor.Table("listen");
  visitor.Address("http", settings.http_address_);
  visitor.Address("rpc", node.rpc_address_);
  visitor.Address("control", settings.control_address_);
  visitor.Number("max_body_bytes", settings.max_body_bytes_, 1, kMaxBytes);
  visitor.Number("max_header_bytes", settings.max_header_bytes_, 256,
                 kMaxBytes);
  visitor.Table("backend");
  visitor.Address("address", settings.backend_address_);
  visitor.Number("max_connections", settings.max_connections_, 1, kMaxCount);
}

void VisitPlatform(SettingsVisitor& visitor, NodeSettings& settings) {
  NodeOptions& node = settings.node_;
  visitor.Table("shared_log");
  visitor.Address("address", settings.log_address_);
  visitor.Required("stream", settings.log_stream_);
  visitor.Number("readers_per_zone", node.log_readers_per_zone_, 1, 100);
  visitor.Time("poll_interval", node.log_poll_interval_, kMinTime);
  visitor.Time("announce_interval", node.announce_interval_, kMinTime);
  visitor.Time("snapshot_interval", node.snapshot_interval_, kMinTime);
  visitor.Table("membership");
  MembershipOptions& membership = node.membership_;
  visitor.Time("gossip_interval", membership.gossip_interval_, kMinTime);
  visitor.Number("zone_peers_per_round", membership.zone_peers_per_round_, 1,
                 100);
  visitor.Number("rounds_per_remote_exchange",
                 membership.rounds_per_remote_exchange_, 1, 1000);
  visitor.Number("max_members_per_message", membership.max_members_per_message_,
                 1, 10'000);
  visitor.Number("sends_per_news", membership.sends_per_news_, 1, 1000);
  visitor.Time("gone_retention", membership.gone_retention_, kMinTime);
  visitor.Time("join_interval", node.join_interval_, kMinTime);
}

void VisitAdmission(SettingsVisitor& visitor, AdmissionOptions& admission) {
  visitor.Table("admission");
  visitor.Choice("policy", admission.policy_, kAdmissionPolicies);
  visitor.Number("initial_limit", admission.initial_limit_, 1, kMaxCount);
  visitor.Number("min_limit", admission.min_limit_, 1, kMaxCount);
  visitor.Number("max_limit", admission.max_limit_, 1, kMaxCount);
  visitor.Number("fixed_limit", admission.fixed_limit_, 1, kMaxCount);
  visitor.Time("max_queue_wait", admission.max_queue_wait_, kMinTime);
  visitor.Time("queue_wait_target", admission.queue_wait_target_, kMinTime);
  visitor.Time("window", admission.window_, kMinTime);
  visitor.Number("grow_tolerance", admission.grow_tolerance_, 1.01, 100.0);
  visitor.Number("shrink_tolerance", admission.shrink_tolerance_, 1.02, 100.0);
  if (admission.min_limit_ > admission.max_limit_) {
    visitor.AddIssue(IssueKind::kOutOfRange, "min_limit",
                     "must not exceed max_limit");
  }
  if (admission.shrink_tolerance_ <= admission.grow_tolerance_) {
    visitor.AddIssue(IssueKind::kOutOfRange, "shrink_tolerance",
                     "must exceed grow_tolerance");
  }
}

void VisitRouting(SettingsVisitor& visitor, NodeOptions& node) {
  RoutingOptions& routing = node.routing_;
  visitor.Table("routing");
  visitor.Time("zone_price", routing.zone_price_, Duration::zero());
  visitor.Number("crossings_per_second", routing.crossings_per_second_, 0.0,
                 1e6);
  visitor.Number("failures_to_eject", routing.failures_to_eject_, 1, 1000);
  visitor.Time("first_ejection", routing.first_ejection_, kMinTime);
  visitor.Time("max_ejection", routing.max_ejection_, kMinTime);
  visitor.Flag("use_levels", routing.use_levels_);
  RetryOptions& retries = node.retries_;
  visitor.Table("retries");
  visitor.Choice("policy", retries.policy_, kRetryPolicies);
  visitor.Number("root_credit", retries.root_credit_, 0, 100);
  visitor.Number("retries_per_hop", retries.retries_per_hop_, 0, 100);
  visitor.Number("budget_ratio", retries.budget_ratio_, 0.0, 1.0);
  visitor.Number("budget_burst", retries.budget_burst_, 0.0, 1e6);
}

void VisitRequests(SettingsVisitor& visitor, NodeOptions& node) {
  RequestOptions& requests = node.requests_;
  visitor.Table("requests");
  visitor.Time("resend_window", requests.resend_window_, kMinTime);
  visitor.Time("max_clock_skew", requests.max_clock_skew_, kMinTime);
  visitor.Time("min_resend_interval", requests.min_resend_interval_, kMinTime);
  if (requests.min_resend_interval_ <= 2 * requests.max_clock_skew_) {
    visitor.AddIssue(IssueKind::kOutOfRange, "min_resend_interval",
                     "must exceed twice max_clock_skew");
  }
  if (node.membership_.gone_retention_ <=
      requests.resend_window_ + 2 * requests.max_clock_skew_) {
    visitor.AddIssue(IssueKind::kOutOfRange, "resend_window",
                     "must be shorter than membership.gone_retention");
  }
}

void VisitOutput(SettingsVisitor& visitor, NodeSettings& settings) {
  visitor.Table("output");
  visitor.Choice("log_format", settings.log_format_, kLogFormats);
  visitor.Optional("journal", settings.journal_path_);
}

void VisitAll(SettingsVisitor& visitor, NodeSettings& settings) {
  VisitProcess(visitor, settings);
  VisitPlatform(visitor, settings);
  VisitAdmission(visitor, settings.node_.admission_);
  VisitRouting(visitor, settings.node_);
  VisitRequests(visitor, settings.node_);
  VisitOutput(visitor, settings);
}

}  // namespace

ParsedSettings ParseSettings(std::string_view text) {
  ParsedSettings parsed;
  const auto document = ParseToml({parsed.issues_}, text);
  if (!document) return parsed;
  SettingsVisitor visitor(*document, parsed.issues_);
  VisitAll(visitor, parsed.settings_);
  visitor.RejectUnknown();
  return parsed;
}

boost::leaf::result<NodeSettings> LoadSettings(const std::string& path) {
  const std::ifstream file(path);
  if (!file) return boost::leaf::new_error(SettingsUnreadable{path});
  std::ostringstream text;
  text << file.rdbuf();
  ParsedSettings parsed = ParseSettings(text.str());
  if (parsed.issues_.empty()) return std::move(parsed.settings_);
  return boost::leaf::new_error(
      SettingsInvalid{.path_ = path, .issues_ = std::move(parsed.issues_)});
}

std::string DescribeSettings(const NodeSettings& settings) {
  NodeSettings copy = settings;
  SettingsVisitor visitor;
  VisitAll(visitor, copy);
  return visitor.description();
}

}  // namespace jujubefront
