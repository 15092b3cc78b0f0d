#include "relaylink/link_codec.h"

#include <capnp/message.h>
#include <capnp/orphan.h>
#include <capnp/serialize.h>
#include <kj/io.h>
#include <link.capnp.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstring>

#include "http1/http1_codec.h"

namespace jujubefront {
namespace {

// Age in milliseconds on the wire that stands for an unknown one.
constexpr std::uint32_t kUnknownAgeMs = 0xffffffff;

std::uint32_t ToMilliseconds(Duration age) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      age / std::chrono::milliseconds(1), 0, UINT32_MAX));
}

capnp::Text::Reader ToText(const std::string& text) {
  return {text.c_str(), text.size()};
}

std::string ToString(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

capnp::Data::Reader ToData(std::string_view bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

std::string ToString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

// Sets a body, or refers to it from the message, which then must not outlive
// it.
template <typename Builder>
void SetBody(Builder builder, const SharedBytes& body, bool refers) {
  const bool is_aligned =
      reinterpret_cast<std::uintptr_t>(body.data()) % sizeof(capnp::word) == 0;
  if (!refers || !is_aligned) return builder.setBody(ToData(body.view()));
  builder.adoptBody(
      capnp::Orphanage::getForMessageContaining(builder).referenceExternalData(
          ToData(body.view())));
}

// A body as a part of the whole message, or a copy if there is none.
SharedBytes ToBody(capnp::Data::Reader data, const SharedBytes* whole) {
  if (whole == nullptr || data.size() == 0) return ToString(data);
  const auto begin = reinterpret_cast<const char*>(data.begin());
  return whole->Part(static_cast<std::size_t>(begin - whole->data()),
                     data.size());
}

// The enumerator with this number, or the fallback for a number above `last`,
// which a newer version of a peer may send.
template <typename Enum>
Enum ToEnum(std::uint8_t number, Enum last, Enum fallback) {
  return number <= static_cast<std::uint8_t>(last) ? static_cast<Enum>(number)
                                                   : fallback;
}

template <typename Builder>
void WriteHeaders(Builder list, const HeaderList& headers) {
  for (unsigned i = 0; i < headers.size(); ++i) {
    list[i].setName(ToText(headers[i].first));
    list[i].setValue(ToText(headers[i].second));
  }
}

HeaderList ReadHeaders(capnp::List<linkwire::Header>::Reader list) {
  HeaderList headers;
  headers.reserve(list.size());
  for (const auto header : list) {
    headers.emplace_back(ToString(header.getName()),
                         ToString(header.getValue()));
  }
  return headers;
}

void Write(capnp::List<linkwire::Profile>::Builder list,
           const std::vector<RouteProfile>& profiles, bool with_service) {
  for (unsigned i = 0; i < profiles.size(); ++i) {
    const RouteProfile& profile = profiles[i];
    list[i].setRoute(ToText(profile.route_));
    if (with_service) list[i].setService(ToText(profile.service_));
    list[i].setRuns(profile.runs_);
    list[i].setSlotSeconds(profile.slot_seconds_);
    auto calls =
        list[i].initCalls(static_cast<unsigned>(profile.calls_.size()));
    unsigned at = 0;
    for (const auto& [route, mean] : profile.calls_) {
      calls[at].setRoute(ToText(route));
      calls[at++].setValue(mean);
    }
  }
}

std::vector<RouteProfile> Read(capnp::List<linkwire::Profile>::Reader list) {
  std::vector<RouteProfile> profiles;
  for (const auto profile : list) {
    RouteProfile& added = profiles.emplace_back();
    added.route_ = ToString(profile.getRoute());
    added.service_ = ToString(profile.getService());
    added.runs_ = profile.getRuns();
    added.slot_seconds_ = profile.getSlotSeconds();
    for (const auto call : profile.getCalls()) {
      added.calls_[ToString(call.getRoute())] = call.getValue();
    }
  }
  return profiles;
}

void Write(capnp::List<linkwire::Demand>::Builder list,
           const std::vector<RouteDemand>& demands) {
  for (unsigned i = 0; i < demands.size(); ++i) {
    list[i].setRoute(ToText(demands[i].route_));
    list[i].setPriority(demands[i].priority_);
    list[i].setPerSecond(static_cast<float>(demands[i].per_second_));
    list[i].setArrivalsPerSecond(
        static_cast<float>(demands[i].arrivals_per_second_));
  }
}

std::vector<RouteDemand> Read(capnp::List<linkwire::Demand>::Reader list) {
  std::vector<RouteDemand> demands;
  for (const auto demand : list) {
    demands.push_back({.route_ = ToString(demand.getRoute()),
                       .priority_ = demand.getPriority(),
                       .per_second_ = demand.getPerSecond(),
                       .arrivals_per_second_ = demand.getArrivalsPerSecond()});
  }
  return demands;
}

// A number that is absent if it is negative, or not a number.
std::optional<double> ReadUnlessNegative(double number) {
  return number >= 0.0 ? std::optional(number) : std::nullopt;
}

void Write(linkwire::StartLimit::Builder builder, const StartLimit& limit) {
  builder.setPerSecond(static_cast<float>(limit.per_second_));
  builder.setUsableSlots(static_cast<float>(limit.usable_slots_));
  builder.setNextStartInUs(limit.next_start_in_.count());
}

// A limited backend server may start a run much earlier than this.
constexpr Duration kMaxNextStart = std::chrono::minutes(10);

std::optional<StartLimit> Read(linkwire::StartLimit::Reader reader) {
  const double per_second = reader.getPerSecond();
  const double usable_slots = reader.getUsableSlots();
  if (!std::isfinite(per_second) || per_second <= 0.0) return std::nullopt;
  if (!std::isfinite(usable_slots) || usable_slots < 0.0) return std::nullopt;
  return StartLimit{
      .per_second_ = per_second,
      .next_start_in_ = std::clamp(Duration(reader.getNextStartInUs()),
                                   Duration::zero(), kMaxNextStart),
      .usable_slots_ = usable_slots};
}

void Write(linkwire::LoadReport::Builder builder, const LoadReport& report) {
  builder.setRunning(report.running_);
  builder.setWaiting(report.waiting_);
  builder.setSlots(report.slots_);
  builder.setAgeMs(ToMilliseconds(report.age_));
  builder.setPace(static_cast<float>(report.pace_.value_or(0.0)));
}

std::optional<LoadReport> Read(linkwire::LoadReport::Reader reader) {
  if (reader.getSlots() == 0) return std::nullopt;
  LoadReport report{.running_ = reader.getRunning(),
                    .waiting_ = reader.getWaiting(),
                    .slots_ = reader.getSlots(),
                    .age_ = std::chrono::milliseconds(reader.getAgeMs())};
  const double pace = reader.getPace();
  if (std::isfinite(pace) && pace > 0.0) report.pace_ = pace;
  return report;
}

// A statement that says nothing is not written.
template <typename Init>
void WriteStatement(Init init, const BackendStatement& statement) {
  if (statement.started_at_ms_ == 0) return;
  linkwire::BackendStatement::Builder builder = init();
  builder.setStartedAtMs(statement.started_at_ms_);
  if (statement.rate_limit_) builder.setRateLimit(*statement.rate_limit_);
  builder.setLeaving(statement.leaving_);
}

BackendStatement Read(linkwire::BackendStatement::Reader reader) {
  return {.started_at_ms_ = reader.getStartedAtMs(),
          .rate_limit_ = ReadUnlessNegative(reader.getRateLimit()),
          .leaving_ = reader.getLeaving()};
}

void Write(linkwire::BackendLeft::Builder builder, const Departure& departure) {
  const BackendLeft& left = departure.left_;
  builder.setInstance(ToText(left.instance_));
  builder.setStartedAtMs(left.started_at_ms_);
  builder.setSequence(left.sequence_);
  builder.setGone(left.gone_);
  builder.setCoversEarlierStarts(departure.covers_earlier_starts_);
}

Departure Read(linkwire::BackendLeft::Reader reader) {
  return {.left_ = {.instance_ = ToString(reader.getInstance()),
                    .started_at_ms_ = reader.getStartedAtMs(),
                    .sequence_ = reader.getSequence(),
                    .gone_ = reader.getGone()},
          .covers_earlier_starts_ = reader.getCoversEarlierStarts()};
}

void Write(linkwire::Message::Builder message, const HostStatus& status) {
  auto builder = message.initStatus();
  builder.setAddress(ToText(status.address_));
  builder.setBoot(status.boot_);
  builder.setSequence(status.sequence_);
  builder.setSentAtUs(status.sent_at_.count());
  builder.setZone(ToText(status.zone_));
  builder.setRegion(ToText(status.region_));
  builder.setLeaving(status.leaving_);
  builder.setService(ToText(status.service_));
  builder.setInstance(ToText(status.instance_));
  builder.setBackend(static_cast<std::uint8_t>(status.backend_));
  builder.setSlots(status.slots_);
  builder.setRunning(status.running_);
  builder.setWaiting(status.waiting_);
  builder.setTableVersion(status.table_version_);
  Write(builder.initProfiles(static_cast<unsigned>(status.profiles_.size())),
        status.profiles_, false);
  Write(builder.initDemands(static_cast<unsigned>(status.demands_.size())),
        status.demands_);
  builder.setReadsStore(status.reads_store_);
  builder.setRejectedShare(static_cast<float>(status.rejected_share_));
  builder.setBackendStartedAtMs(status.backend_started_at_ms_);
  builder.setBackendSequence(status.backend_sequence_);
  builder.setSuspicionDigest(status.suspicion_digest_);
  builder.setStoreEra(status.store_era_);
  if (status.document_age_) {
    builder.setDocumentAgeMs(ToMilliseconds(*status.document_age_));
  }
  if (status.start_limit_) {
    Write(builder.initStartLimit(), *status.start_limit_);
  }
  if (status.departed_) Write(builder.initDeparted(), *status.departed_);
  if (status.load_report_) {
    Write(builder.initLoadReport(), *status.load_report_);
  }
}

HostStatus Read(linkwire::Status::Reader reader) {
  HostStatus status;
  status.address_ = ToString(reader.getAddress());
  status.boot_ = reader.getBoot();
  status.sequence_ = reader.getSequence();
  status.sent_at_ = Duration(reader.getSentAtUs());
  status.zone_ = ToString(reader.getZone());
  status.region_ = ToString(reader.getRegion());
  status.leaving_ = reader.getLeaving();
  status.service_ = ToString(reader.getService());
  status.instance_ = ToString(reader.getInstance());
  status.backend_ = ToEnum(reader.getBackend(), BackendState::kUnreachable,
                           BackendState::kUnknown);
  status.slots_ = reader.getSlots();
  status.running_ = reader.getRunning();
  status.waiting_ = reader.getWaiting();
  status.table_version_ = reader.getTableVersion();
  status.profiles_ = Read(reader.getProfiles());
  for (RouteProfile& profile : status.profiles_) {
    profile.service_ = status.service_;
  }
  status.demands_ = Read(reader.getDemands());
  status.reads_store_ = reader.getReadsStore();
  status.rejected_share_ = reader.getRejectedShare();
  status.backend_started_at_ms_ = reader.getBackendStartedAtMs();
  status.backend_sequence_ = reader.getBackendSequence();
  status.suspicion_digest_ = reader.getSuspicionDigest();
  status.store_era_ = reader.getStoreEra();
  if (reader.getDocumentAgeMs() != kUnknownAgeMs) {
    status.document_age_ = std::chrono::milliseconds(reader.getDocumentAgeMs());
  }
  if (reader.hasStartLimit()) {
    status.start_limit_ = Read(reader.getStartLimit());
  }
  if (reader.hasDeparted()) status.departed_ = Read(reader.getDeparted());
  if (reader.hasLoadReport()) {
    status.load_report_ = Read(reader.getLoadReport());
  }
  return status;
}

void Write(linkwire::Message::Builder message, const SuspicionNotice& notice) {
  auto builder = message.initSuspicion();
  auto charges =
      builder.initCharges(static_cast<unsigned>(notice.charges_.size()));
  for (unsigned i = 0; i < notice.charges_.size(); ++i) {
    const ContentCharge& charge = notice.charges_[i];
    charges[i].setContentHigh(charge.content_.high_);
    charges[i].setContentLow(charge.content_.low_);
    charges[i].setCaller(charge.caller_);
    charges[i].setIncarnation(charge.incarnation_);
    charges[i].setAgeMs(ToMilliseconds(charge.age_));
  }
  auto clearances =
      builder.initClearances(static_cast<unsigned>(notice.clearances_.size()));
  for (unsigned i = 0; i < notice.clearances_.size(); ++i) {
    const ContentClearance& clearance = notice.clearances_[i];
    clearances[i].setContentHigh(clearance.content_.high_);
    clearances[i].setContentLow(clearance.content_.low_);
    clearances[i].setCaller(clearance.caller_);
    clearances[i].setAgeMs(ToMilliseconds(clearance.age_));
  }
}

template <typename Reader>
Fingerprint ReadContent(const Reader& reader) {
  return {.high_ = reader.getContentHigh(), .low_ = reader.getContentLow()};
}

SuspicionNotice Read(linkwire::Suspicion::Reader reader) {
  SuspicionNotice notice;
  for (const auto charge : reader.getCharges()) {
    notice.charges_.push_back(
        {.content_ = ReadContent(charge),
         .caller_ = charge.getCaller(),
         .incarnation_ = charge.getIncarnation(),
         .age_ = std::chrono::milliseconds(charge.getAgeMs())});
  }
  for (const auto clearance : reader.getClearances()) {
    notice.clearances_.push_back(
        {.content_ = ReadContent(clearance),
         .caller_ = clearance.getCaller(),
         .age_ = std::chrono::milliseconds(clearance.getAgeMs())});
  }
  return notice;
}

void Write(linkwire::Message::Builder message, const ZoneSum& sum) {
  auto builder = message.initZoneSum();
  builder.setZone(ToText(sum.zone_));
  builder.setRegion(ToText(sum.region_));
  builder.setMaker(ToText(sum.aggregator_));
  builder.setMakerBoot(sum.aggregator_boot_);
  builder.setSequence(sum.sequence_);
  builder.setHosts(sum.hosts_);
  Write(builder.initProfiles(static_cast<unsigned>(sum.profiles_.size())),
        sum.profiles_, true);
  Write(builder.initDemands(static_cast<unsigned>(sum.demands_.size())),
        sum.demands_);
  auto arrivals =
      builder.initArrivals(static_cast<unsigned>(sum.arrivals_.size()));
  for (unsigned i = 0; i < sum.arrivals_.size(); ++i) {
    arrivals[i].setRoute(ToText(sum.arrivals_[i].route_));
    arrivals[i].setHostService(ToText(sum.arrivals_[i].host_service_));
    arrivals[i].setPerSecond(static_cast<float>(sum.arrivals_[i].per_second_));
  }
  auto services =
      builder.initServices(static_cast<unsigned>(sum.services_.size()));
  for (unsigned i = 0; i < sum.services_.size(); ++i) {
    const ServiceLoad& load = sum.services_[i];
    services[i].setService(ToText(load.service_));
    services[i].setSlots(static_cast<float>(load.slots_));
    services[i].setRuns(static_cast<float>(load.runs_));
    services[i].setRejectedSlots(static_cast<float>(load.rejected_slots_));
  }
}

ZoneSum Read(linkwire::ZoneSum::Reader reader) {
  ZoneSum sum;
  sum.zone_ = ToString(reader.getZone());
  sum.region_ = ToString(reader.getRegion());
  sum.aggregator_ = ToString(reader.getMaker());
  sum.aggregator_boot_ = reader.getMakerBoot();
  sum.sequence_ = reader.getSequence();
  sum.hosts_ = reader.getHosts();
  sum.profiles_ = Read(reader.getProfiles());
  sum.demands_ = Read(reader.getDemands());
  for (const auto entry : reader.getArrivals()) {
    sum.arrivals_.push_back({.route_ = ToString(entry.getRoute()),
                             .host_service_ = ToString(entry.getHostService()),
                             .per_second_ = entry.getPerSecond()});
  }
  for (const auto load : reader.getServices()) {
    sum.services_.push_back({.service_ = ToString(load.getService()),
                             .slots_ = load.getSlots(),
                             .runs_ = load.getRuns(),
                             .rejected_slots_ = load.getRejectedSlots()});
  }
  return sum;
}

void Write(linkwire::Message::Builder message, const QuotaReport& report) {
  auto builder = message.initQuotaUse();
  builder.setScope(static_cast<std::uint8_t>(report.scope_));
  builder.setZone(ToText(report.zone_));
  builder.setSequence(report.sequence_);
  auto entries =
      builder.initEntries(static_cast<unsigned>(report.uses_.size()));
  unsigned at = 0;
  for (const auto& [workspace, use] : report.uses_) {
    entries[at].setWorkspace(workspace);
    entries[at].setPerSecond(static_cast<float>(use.per_second_));
    entries[at].setUsualPerSecond(static_cast<float>(use.usual_per_second_));
    entries[at].setLastPerSecond(static_cast<float>(use.last_per_second_));
    entries[at++].setUsed(static_cast<float>(use.used_));
  }
}

QuotaReport Read(linkwire::QuotaUse::Reader reader) {
  QuotaReport report{.scope_ = ToEnum(reader.getScope(), QuotaScope::kFleet,
                                      QuotaScope::kHost),
                     .zone_ = ToString(reader.getZone()),
                     .sequence_ = reader.getSequence()};
  for (const auto entry : reader.getEntries()) {
    report.uses_[entry.getWorkspace()] = {
        .per_second_ = entry.getPerSecond(),
        .last_per_second_ = entry.getLastPerSecond(),
        .usual_per_second_ = entry.getUsualPerSecond(),
        .used_ = entry.getUsed()};
  }
  return report;
}

void Write(linkwire::Message::Builder message, const RunOrder& order,
           bool refers_to_body) {
  auto builder = message.initOrder();
  builder.setSendId(order.send_id_);
  builder.setSentAtUs(order.sent_at_.count());
  builder.setInstance(ToText(order.instance_));
  builder.setRoute(ToText(order.route_));
  builder.setCallerService(ToText(order.caller_service_));
  builder.setContentHigh(order.content_.high_);
  builder.setContentLow(order.content_.low_);
  if (!order.workspace_.empty()) builder.setWorkspace(ToText(order.workspace_));
  builder.setWorkspacePriority(order.workspace_priority_);
  builder.setPriority(order.priority_);
  builder.setIsCall(order.is_call_);
  builder.setIdempotent(order.idempotent_);
  builder.setTreeRank(static_cast<float>(order.tree_rank_));
  builder.setIsRepeat(order.is_repeat_);
  builder.setRemainingUs(order.remaining_.count());
  builder.setObjectiveLeftUs(order.objective_left_.count());
  builder.setTraceId(ToText(order.trace_id_));
  WriteStatement([&] { return builder.initKnown(); }, order.known_);
  builder.setMethod(ToText(order.request_.method_));
  builder.setTarget(ToText(order.request_.target_));
  WriteHeaders(builder.initHeaders(order.request_.headers_.size()),
               order.request_.headers_);
  SetBody(builder, order.request_.body_, refers_to_body);
}

RunOrder Read(linkwire::Order::Reader reader, const SharedBytes* whole) {
  RunOrder order;
  order.send_id_ = reader.getSendId();
  order.sent_at_ = Duration(reader.getSentAtUs());
  order.instance_ = ToString(reader.getInstance());
  order.route_ = ToString(reader.getRoute());
  order.caller_service_ = ToString(reader.getCallerService());
  order.content_ = ReadContent(reader);
  order.workspace_ = ToString(reader.getWorkspace());
  order.workspace_priority_ = reader.getWorkspacePriority();
  order.priority_ = reader.getPriority();
  order.is_call_ = reader.getIsCall();
  order.idempotent_ = reader.getIdempotent();
  order.tree_rank_ = reader.getTreeRank();
  order.is_repeat_ = reader.getIsRepeat();
  order.remaining_ = Duration(reader.getRemainingUs());
  order.objective_left_ = Duration(reader.getObjectiveLeftUs());
  order.trace_id_ = ToString(reader.getTraceId());
  order.known_ = Read(reader.getKnown());
  order.request_.method_ = ToString(reader.getMethod());
  order.request_.target_ = ToString(reader.getTarget());
  order.request_.headers_ = ReadHeaders(reader.getHeaders());
  order.request_.body_ = ToBody(reader.getBody(), whole);
  return order;
}

void Write(linkwire::Message::Builder message, const RunReply& reply,
           bool refers_to_body) {
  auto builder = message.initReply();
  builder.setSendId(reply.send_id_);
  builder.setOutcome(static_cast<std::uint8_t>(reply.outcome_));
  builder.setReason(static_cast<std::uint8_t>(reply.reason_));
  builder.setRunning(reply.running_);
  builder.setWaiting(reply.waiting_);
  builder.setHoldUs(reply.hold_.count());
  builder.setCallsFailed(reply.calls_failed_);
  WriteStatement([&] { return builder.initStated(); }, reply.stated_);
  if (reply.start_limit_) {
    Write(builder.initStartLimit(), *reply.start_limit_);
  }
  if (reply.load_report_) Write(builder.initLoadReport(), *reply.load_report_);
  builder.setLastSendId(reply.last_send_id_);
  builder.setStatus(static_cast<std::uint16_t>(reply.response_.status_));
  WriteHeaders(builder.initHeaders(reply.response_.headers_.size()),
               reply.response_.headers_);
  SetBody(builder, reply.response_.body_, refers_to_body);
}

RunReply Read(linkwire::Reply::Reader reader, const SharedBytes* whole) {
  RunReply reply;
  reply.send_id_ = reader.getSendId();
  // After an unknown outcome the request may have run, as after kBroken.
  reply.outcome_ =
      ToEnum(reader.getOutcome(), RunOutcome::kTimedOut, RunOutcome::kBroken);
  reply.reason_ =
      ToEnum(reader.getReason(), NotRunReason::kSuspect, NotRunReason::kNone);
  reply.running_ = reader.getRunning();
  reply.waiting_ = reader.getWaiting();
  reply.hold_ = Duration(reader.getHoldUs());
  reply.calls_failed_ = reader.getCallsFailed();
  reply.stated_ = Read(reader.getStated());
  if (reader.hasStartLimit()) {
    reply.start_limit_ = Read(reader.getStartLimit());
  }
  if (reader.hasLoadReport()) reply.load_report_ = Read(reader.getLoadReport());
  reply.last_send_id_ = reader.getLastSendId();
  reply.response_.status_ = reader.getStatus();
  reply.response_.headers_ = ReadHeaders(reader.getHeaders());
  reply.response_.body_ = ToBody(reader.getBody(), whole);
  return reply;
}

struct Encoder {
  linkwire::Message::Builder message_;
  bool refers_to_body_ = false;

  void operator()(const HostStatus& value) { Write(message_, value); }
  void operator()(const RunOrder& value) {
    Write(message_, value, refers_to_body_);
  }
  void operator()(const RunReply& value) {
    Write(message_, value, refers_to_body_);
  }
  void operator()(const RunCancel& value) {
    message_.setCancel(value.send_id_);
  }
  void operator()(const PeerPing& value) { message_.setPing(value.number_); }
  void operator()(const PeerPong& value) { message_.setPong(value.number_); }
  void operator()(const TableQuery& value) {
    message_.setTableQuery(value.newer_than_);
  }
  void operator()(const TableText& value) {
    auto builder = message_.initTableText();
    builder.setVersion(value.version_);
    builder.setText(ToData(value.text_));
  }
  void operator()(const PeersQuery&) { message_.setPeersQuery(); }
  void operator()(const ZoneSum& value) { Write(message_, value); }
  void operator()(const Departure& value) {
    Write(message_.initBackendLeft(), value);
  }
  void operator()(const SuspicionNotice& value) { Write(message_, value); }
  void operator()(const QuotaReport& value) { Write(message_, value); }
  void operator()(const PeerAddresses& value) {
    auto list =
        message_.initPeers(static_cast<unsigned>(value.addresses_.size()));
    for (unsigned i = 0; i < value.addresses_.size(); ++i) {
      list.set(i, ToText(value.addresses_[i]));
    }
  }
};

std::optional<LinkMessage> Decode(linkwire::Message::Reader message,
                                  const SharedBytes* whole) {
  switch (message.which()) {
    case linkwire::Message::STATUS:
      return Read(message.getStatus());
    case linkwire::Message::ORDER:
      return Read(message.getOrder(), whole);
    case linkwire::Message::REPLY:
      return Read(message.getReply(), whole);
    case linkwire::Message::CANCEL:
      return RunCancel{.send_id_ = message.getCancel()};
    case linkwire::Message::PING:
      return PeerPing{.number_ = message.getPing()};
    case linkwire::Message::PONG:
      return PeerPong{.number_ = message.getPong()};
    case linkwire::Message::TABLE_QUERY:
      return TableQuery{.newer_than_ = message.getTableQuery()};
    case linkwire::Message::TABLE_TEXT:
      return TableText{.version_ = message.getTableText().getVersion(),
                       .text_ = ToString(message.getTableText().getText())};
    case linkwire::Message::PEERS_QUERY:
      return PeersQuery{};
    case linkwire::Message::PEERS: {
      PeerAddresses known;
      for (const auto address : message.getPeers()) {
        known.addresses_.push_back(ToString(address));
      }
      return known;
    }
    case linkwire::Message::ZONE_SUM:
      return Read(message.getZoneSum());
    case linkwire::Message::BACKEND_LEFT:
      return Read(message.getBackendLeft());
    case linkwire::Message::SUSPICION:
      return Read(message.getSuspicion());
    case linkwire::Message::QUOTA_USE:
      return Read(message.getQuotaUse());
    case linkwire::Message::FRAGMENT:
      break;
  }
  return std::nullopt;
}

// Size in bytes of the message that begins with these words; 0 if they do not
// contain the size. With an incomplete segment table it is a lower bound.
std::size_t FrameSize(kj::ArrayPtr<const capnp::word> words) {
  if (words.size() == 0) return 0;
  return capnp::expectedSizeInWordsFromPrefix(words) * sizeof(capnp::word);
}

// Appends to a string, without a copy of a whole message in between.
class StringStream : public kj::OutputStream {
 public:
  explicit StringStream(std::size_t size) { text_.reserve(size); }

  void write(const void* bytes, std::size_t size) override {
    text_.append(static_cast<const char*>(bytes), size);
  }
  std::string Take() { return std::move(text_); }

 private:
  std::string text_;
};

// The segment table of Cap'n Proto's stream format: the number of segments less
// one and the size of each in words, as 32 bits, filled up to a whole word.
void AppendSegmentTable(
    kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments,
    std::string& text) {
  const auto append = [&](std::size_t number) {
    for (int shift = 0; shift < 32; shift += 8) {
      text.push_back(static_cast<char>(number >> shift & 0xff));
    }
  };
  append(segments.size() - 1);
  for (const auto& segment : segments) append(segment.size());
  if (segments.size() % 2 == 0) append(0);
}

std::string ToBytes(capnp::MessageBuilder& builder) {
  StringStream stream(capnp::computeSerializedSizeInWords(builder) *
                      sizeof(capnp::word));
  capnp::writeMessage(stream, builder);
  return stream.Take();
}

// A process of an earlier version forwards statuses of 600 to 999. Such a reply
// is that of a run that broke. To reject it as malformed would close the
// connection, and with it break the other runs at that host.
void DropInvalidAnswer(LinkMessage& message) {
  auto* reply = std::get_if<RunReply>(&message);
  if (reply == nullptr || reply->outcome_ != RunOutcome::kAnswered ||
      IsFinalStatus(reply->response_.status_)) {
    return;
  }
  reply->outcome_ = RunOutcome::kBroken;
  reply->response_ = {.status_ = 0};
}

// Whether the HTTP message that it contains, if any, can be passed on.
bool IsUsable(const LinkMessage& message) {
  if (const auto* order = std::get_if<RunOrder>(&message)) {
    return IsWritable(order->request_);
  }
  const auto* reply = std::get_if<RunReply>(&message);
  return reply == nullptr || reply->outcome_ != RunOutcome::kAnswered ||
         IsWritable(reply->response_);
}

}  // namespace

std::string EncodeLinkMessage(const LinkMessage& message) {
  capnp::MallocMessageBuilder builder;
  std::visit(Encoder{builder.initRoot<linkwire::Message>()}, message);
  return ToBytes(builder);
}

std::string EncodedLinkMessage::Copy(std::size_t begin,
                                     std::size_t count) const {
  std::string copy;
  copy.reserve(std::min(count, size() - begin));
  for (const std::string_view part :
       {std::string_view(head_), body_.view(), std::string_view(tail_)}) {
    if (begin >= part.size()) {
      begin -= part.size();
      continue;
    }
    copy += part.substr(begin, count - copy.size());
    begin = 0;
  }
  return copy;
}

const SharedBytes* BodyOf(const LinkMessage& message) {
  if (const auto* order = std::get_if<RunOrder>(&message)) {
    return &order->request_.body_;
  }
  const auto* reply = std::get_if<RunReply>(&message);
  return reply == nullptr ? nullptr : &reply->response_.body_;
}

EncodedLinkMessage EncodeLargeLinkMessage(const LinkMessage& message) {
  const SharedBytes* body = BodyOf(message);
  capnp::MallocMessageBuilder builder;
  std::visit(Encoder{.message_ = builder.initRoot<linkwire::Message>(),
                     .refers_to_body_ = true},
             message);
  const auto segments = builder.getSegmentsForOutput();
  EncodedLinkMessage encoded;
  AppendSegmentTable(segments, encoded.head_);
  std::string* copies = &encoded.head_;
  for (const auto& segment : segments) {
    const auto bytes = segment.asChars();
    if (body == nullptr || body->empty() || bytes.begin() != body->data()) {
      copies->append(bytes.begin(), bytes.size());
      continue;
    }
    encoded.body_ = *body;
    // A segment ends with a whole word.
    encoded.tail_.assign(bytes.size() - body->size(), '\0');
    copies = &encoded.tail_;
  }
  return encoded;
}

std::string EncodeLinkFragment(const LinkFragment& fragment) {
  capnp::MallocMessageBuilder builder;
  auto part = builder.initRoot<linkwire::Message>().initFragment();
  part.setData(ToData(fragment.data_));
  part.setLast(fragment.last_);
  part.setAborted(fragment.aborted_);
  part.setTotalBytes(fragment.total_bytes_);
  part.setOrderId(fragment.order_id_);
  part.setReplyId(fragment.reply_id_);
  return ToBytes(builder);
}

namespace {

LinkDecodeResult DecodeWords(kj::ArrayPtr<const capnp::word> words,
                             const SharedBytes* whole) {
  LinkDecodeResult decoded;
  decoded.consumed_ = words.asBytes().size();
  try {
    capnp::FlatArrayMessageReader reader(
        words, {.traversalLimitInWords = 2 * words.size() + 1024});
    const auto message = reader.getRoot<linkwire::Message>();
    if (message.isFragment()) {
      const auto part = message.getFragment();
      decoded.fragment_ = {.data_ = ToString(part.getData()),
                           .last_ = part.getLast(),
                           .aborted_ = part.getAborted(),
                           .total_bytes_ = part.getTotalBytes(),
                           .order_id_ = part.getOrderId(),
                           .reply_id_ = part.getReplyId()};
      return decoded;
    }
    decoded.message_ = Decode(message, whole);
  } catch (const kj::Exception&) {
    decoded.malformed_ = true;
  }
  if (decoded.message_ && !IsUsable(*decoded.message_)) {
    decoded.message_.reset();
  }
  if (decoded.message_) DropInvalidAnswer(*decoded.message_);
  if (!decoded.message_) decoded.malformed_ = true;
  return decoded;
}

}  // namespace

LinkDecodeResult DecodeLinkMessage(std::string_view bytes,
                                   std::size_t max_bytes) {
  LinkDecodeResult decoded;
  if (bytes.size() < sizeof(capnp::word)) return decoded;
  // Cap'n Proto reads aligned words, so the segment table is decoded from an
  // aligned copy. 8 words hold the table of up to 15 segments.
  std::array<capnp::word, 8> prefix{};
  const std::size_t prefix_bytes = std::min(bytes.size(), sizeof(prefix));
  std::memcpy(prefix.data(), bytes.data(), prefix_bytes);
  const std::size_t frame = FrameSize(
      kj::arrayPtr(prefix.data(), prefix_bytes / sizeof(capnp::word)));
  if (frame > max_bytes) {
    decoded.malformed_ = true;
    return decoded;
  }
  if (bytes.size() < frame) return decoded;
  auto words = kj::heapArray<capnp::word>(frame / sizeof(capnp::word));
  std::memcpy(words.begin(), bytes.data(), frame);
  return DecodeWords(words, nullptr);
}

LinkDecodeResult DecodeWholeLinkMessage(const SharedBytes& bytes) {
  const auto* begin = reinterpret_cast<const capnp::word*>(bytes.data());
  const std::size_t words = bytes.size() / sizeof(capnp::word);
  if (bytes.size() % sizeof(capnp::word) != 0 || words == 0 ||
      reinterpret_cast<std::uintptr_t>(begin) % sizeof(capnp::word) != 0) {
    return {.malformed_ = true};
  }
  return DecodeWords(kj::arrayPtr(begin, words), &bytes);
}

}  // namespace jujubefront
