#include "rpc/peer_codec.h"

namespace jujubefront {
namespace {

constexpr auto kLastVerdict = static_cast<unsigned>(Verdict::kCondemned);
constexpr auto kLastReason = static_cast<unsigned>(Reason::kCancelled);
constexpr auto kLastAskVerdict = static_cast<unsigned>(AskVerdict::kTooOld);
constexpr auto kLastState = static_cast<unsigned>(MemberState::kGone);
constexpr auto kLastSendKind = static_cast<unsigned>(SendKind::kResend);

std::string ToString(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

capnp::Data::Reader ToData(const Payload& body) {
  if (!body) return {};
  return {reinterpret_cast<const kj::byte*>(body->data()), body->size()};
}

Payload ToPayload(capnp::Data::Reader data) {
  if (data.size() == 0) return nullptr;
  return std::make_shared<const std::string>(
      reinterpret_cast<const char*>(data.begin()), data.size());
}

std::int64_t ToMicroseconds(Timestamp time) {
  return time.time_since_epoch().count();
}

Timestamp ToTimestamp(std::int64_t microseconds) {
  return Timestamp(Duration(microseconds));
}

// Converts numbers to enumerators and records whether any was out of range;
// such a number becomes the enumerator 0.
struct EnumDecoder {
  bool ok_ = true;

  template <typename Enum>
  Enum Read(unsigned value, unsigned last) {
    if (value > last) {
      ok_ = false;
      value = 0;
    }
    return static_cast<Enum>(value);
  }
};

void Encode(const RequestKey& key, wire::Key::Builder builder) {
  builder.setHigh(key.high_);
  builder.setLow(key.low_);
}

RequestKey Decode(wire::Key::Reader reader) {
  return {.high_ = reader.getHigh(), .low_ = reader.getLow()};
}

void Encode(const Addressee& to, wire::Addressee::Builder builder) {
  builder.setName(to.name_);
  builder.setIncarnation(to.incarnation_);
}

Addressee Decode(wire::Addressee::Reader reader) {
  return {.name_ = ToString(reader.getName()),
          .incarnation_ = reader.getIncarnation()};
}

void Encode(const CallContext& context, wire::Context::Builder builder) {
  Encode(context.key_, builder.initKey());
  Encode(context.root_key_, builder.initRootKey());
  builder.setService(context.service_);
  builder.setMethod(context.method_);
  builder.setPath(context.path_);
  builder.setClassName(context.class_name_);
  builder.setCustomer(context.customer_);
  builder.setTier(context.tier_);
  builder.setIdempotent(context.idempotent_);
  builder.setSendKind(static_cast<std::uint8_t>(context.send_kind_));
  builder.setCredit(context.credit_);
  builder.setDepth(context.depth_);
  builder.setCharges(context.charges_);
}

CallContext Decode(wire::Context::Reader reader, EnumDecoder& enums) {
  CallContext context;
  context.key_ = Decode(reader.getKey());
  context.root_key_ = Decode(reader.getRootKey());
  context.service_ = ToString(reader.getService());
  context.method_ = ToString(reader.getMethod());
  context.path_ = ToString(reader.getPath());
  context.class_name_ = ToString(reader.getClassName());
  context.customer_ = ToString(reader.getCustomer());
  context.tier_ = reader.getTier();
  context.idempotent_ = reader.getIdempotent();
  context.send_kind_ =
      enums.Read<SendKind>(reader.getSendKind(), kLastSendKind);
  context.credit_ = reader.getCredit();
  context.depth_ = reader.getDepth();
  context.charges_ = reader.getCharges();
  return context;
}

void Encode(const Answer& answer, std::uint64_t body_length,
            wire::Answer::Builder builder) {
  builder.setVerdict(static_cast<std::uint8_t>(answer.verdict_));
  builder.setReason(static_cast<std::uint8_t>(answer.reason_));
  builder.setHttpStatus(static_cast<std::uint16_t>(answer.http_status_));
  builder.setContentType(answer.content_type_);
  builder.setBody(ToData(answer.body_));
  builder.setBodyHash(answer.body_hash_);
  builder.setBodyLength(body_length);
  builder.setCreditLeft(answer.credit_left_);
  builder.setCharges(answer.charges_);
  builder.setLevel(answer.level_);
  builder.setRetryAfterUs(answer.retry_after_.count());
  builder.setTicket(answer.ticket_);
  builder.setServedBy(answer.served_by_);
  builder.setSealed(answer.sealed_);
}

Answer Decode(wire::Answer::Reader reader, EnumDecoder& enums) {
  Answer answer;
  answer.verdict_ = enums.Read<Verdict>(reader.getVerdict(), kLastVerdict);
  answer.reason_ = enums.Read<Reason>(reader.getReason(), kLastReason);
  answer.http_status_ = reader.getHttpStatus();
  answer.content_type_ = ToString(reader.getContentType());
  answer.body_ = ToPayload(reader.getBody());
  answer.body_hash_ = reader.getBodyHash();
  answer.credit_left_ = reader.getCreditLeft();
  answer.charges_ = reader.getCharges();
  answer.level_ = reader.getLevel();
  answer.retry_after_ = Duration(reader.getRetryAfterUs());
  answer.ticket_ = ToString(reader.getTicket());
  answer.served_by_ = ToString(reader.getServedBy());
  answer.sealed_ = reader.getSealed();
  return answer;
}

void Encode(const Member& member, wire::Member::Builder builder) {
  builder.setName(member.name_);
  builder.setIncarnation(member.incarnation_);
  builder.setState(static_cast<std::uint8_t>(member.state_));
  builder.setTableKept(member.table_kept_);
  builder.setServingSinceUs(ToMicroseconds(member.serving_since_));
  builder.setMemoryLostBeforeUs(ToMicroseconds(member.memory_lost_before_));
  builder.setZone(member.zone_);
  builder.setRegion(member.region_);
  builder.setService(member.service_);
  builder.setRpcAddress(member.rpc_address_);
}

Member Decode(wire::Member::Reader reader, EnumDecoder& enums) {
  Member member;
  member.name_ = ToString(reader.getName());
  member.incarnation_ = reader.getIncarnation();
  member.state_ = enums.Read<MemberState>(reader.getState(), kLastState);
  member.table_kept_ = reader.getTableKept();
  member.serving_since_ = ToTimestamp(reader.getServingSinceUs());
  member.memory_lost_before_ = ToTimestamp(reader.getMemoryLostBeforeUs());
  member.zone_ = ToString(reader.getZone());
  member.region_ = ToString(reader.getRegion());
  member.service_ = ToString(reader.getService());
  member.rpc_address_ = ToString(reader.getRpcAddress());
  return member;
}

void Encode(const std::vector<Member>& members,
            capnp::List<wire::Member>::Builder list) {
  for (unsigned i = 0; i < members.size(); ++i) Encode(members[i], list[i]);
}

std::vector<Member> Decode(capnp::List<wire::Member>::Reader list,
                           EnumDecoder& enums) {
  std::vector<Member> members;
  members.reserve(list.size());
  for (const auto reader : list) members.push_back(Decode(reader, enums));
  return members;
}

void Encode(const SnapshotRecord& document, wire::Document::Builder builder) {
  builder.setAsOf(document.as_of_);
  auto list = builder.initSections(document.sections_.size());
  for (unsigned i = 0; i < document.sections_.size(); ++i) {
    const SectionInForce& section = document.sections_[i];
    list[i].setName(section.name_);
    list[i].setVersion(section.version_);
    list[i].setRecordId(section.record_id_);
    list[i].setText(section.text_);
  }
}

SnapshotRecord Decode(wire::Document::Reader reader) {
  SnapshotRecord document{.as_of_ = reader.getAsOf()};
  for (const auto section : reader.getSections()) {
    document.sections_.push_back({.name_ = ToString(section.getName()),
                                  .version_ = section.getVersion(),
                                  .record_id_ = ToString(section.getRecordId()),
                                  .text_ = ToString(section.getText())});
  }
  return document;
}

struct MessageEncoder {
  wire::Message::Builder builder_;

  void operator()(const RunRequest& request) {
    auto target = builder_.initRunRequest();
    Encode(request.to_, target.initTo());
    Encode(request.context_, target.initContext());
    target.setRemainingUs(request.remaining_.count());
    target.setBody(ToData(request.body_));
  }
  void operator()(const RunReply& reply) {
    Encode(reply.answer_, reply.body_length_, builder_.initRunReply());
  }
  void operator()(const AskRequest& request) {
    auto target = builder_.initAskRequest();
    Encode(request.to_, target.initTo());
    Encode(request.key_, target.initKey());
    target.setService(request.service_);
    target.setAsHome(request.as_home_);
  }
  void operator()(const AskReply& reply) {
    auto target = builder_.initAskReply();
    target.setVerdict(static_cast<std::uint8_t>(reply.verdict_));
    Encode(reply.answer_, reply.body_length_, target.initAnswer());
    Encode(reply.members_, target.initMembers(reply.members_.size()));
  }
  void operator()(const Exchange& exchange) {
    auto target = builder_.initExchange();
    target.setFrom(exchange.from_);
    target.setDigest(exchange.digest_);
    target.setEstablished(exchange.established_);
    target.setApplied(exchange.applied_);
    Encode(exchange.members_, target.initMembers(exchange.members_.size()));
    auto charges = target.initCharges(exchange.charges_.size());
    for (unsigned i = 0; i < exchange.charges_.size(); ++i) {
      Encode(exchange.charges_[i].key_, charges[i].initKey());
      charges[i].setCharges(exchange.charges_[i].charges_);
    }
    Encode(exchange.document_, target.initDocument());
  }
  void operator()(const JoinRequest& request) {
    Encode(request.member_, builder_.initJoinRequest());
  }
  void operator()(const JoinReply& reply) {
    Encode(reply.members_, builder_.initJoinReply(reply.members_.size()));
  }
  void operator()(const HandOverRequest& request) {
    auto target = builder_.initHandOverRequest();
    Encode(request.to_, target.initTo());
    target.setFrom(request.from_);
    auto records = target.initRecords(request.records_.size());
    for (unsigned i = 0; i < request.records_.size(); ++i) {
      const auto& [key, answer] = request.records_[i];
      Encode(key, records[i].initKey());
      Encode(answer, answer.body_ ? answer.body_->size() : 0,
             records[i].initAnswer());
    }
  }
  void operator()(const HandOverReply& reply) {
    builder_.setHandOverReply(reply.accepted_);
  }
  void operator()(const PeerRefusal& refusal) {
    builder_.setRefusal(static_cast<std::uint8_t>(refusal.reason_));
  }
};

RunRequest Decode(wire::RunRequest::Reader reader, EnumDecoder& enums) {
  return {.to_ = Decode(reader.getTo()),
          .context_ = Decode(reader.getContext(), enums),
          .remaining_ = Duration(reader.getRemainingUs()),
          .body_ = ToPayload(reader.getBody())};
}

AskRequest Decode(wire::AskRequest::Reader reader) {
  return {.to_ = Decode(reader.getTo()),
          .key_ = Decode(reader.getKey()),
          .service_ = ToString(reader.getService()),
          .as_home_ = reader.getAsHome()};
}

AskReply Decode(wire::AskReply::Reader reader, EnumDecoder& enums) {
  return {
      .verdict_ = enums.Read<AskVerdict>(reader.getVerdict(), kLastAskVerdict),
      .answer_ = Decode(reader.getAnswer(), enums),
      .body_length_ = reader.getAnswer().getBodyLength(),
      .members_ = Decode(reader.getMembers(), enums)};
}

Exchange Decode(wire::Exchange::Reader reader, EnumDecoder& enums) {
  Exchange exchange{.from_ = ToString(reader.getFrom()),
                    .digest_ = reader.getDigest(),
                    .established_ = reader.getEstablished(),
                    .applied_ = reader.getApplied(),
                    .members_ = Decode(reader.getMembers(), enums)};
  for (const auto charge : reader.getCharges()) {
    exchange.charges_.push_back(
        {.key_ = Decode(charge.getKey()), .charges_ = charge.getCharges()});
  }
  exchange.document_ = Decode(reader.getDocument());
  return exchange;
}

HandOverRequest Decode(wire::HandOverRequest::Reader reader,
                       EnumDecoder& enums) {
  HandOverRequest request{.to_ = Decode(reader.getTo()),
                          .from_ = ToString(reader.getFrom())};
  for (const auto record : reader.getRecords()) {
    request.records_.emplace_back(Decode(record.getKey()),
                                  Decode(record.getAnswer(), enums));
  }
  return request;
}

std::optional<PeerMessage> DecodeKind(wire::Message::Reader reader,
                                      EnumDecoder& enums) {
  switch (reader.which()) {
    case wire::Message::RUN_REQUEST:
      return Decode(reader.getRunRequest(), enums);
    case wire::Message::RUN_REPLY:
      return RunReply{.answer_ = Decode(reader.getRunReply(), enums),
                      .body_length_ = reader.getRunReply().getBodyLength()};
    case wire::Message::ASK_REQUEST:
      return Decode(reader.getAskRequest());
    case wire::Message::ASK_REPLY:
      return Decode(reader.getAskReply(), enums);
    case wire::Message::EXCHANGE:
      return Decode(reader.getExchange(), enums);
    case wire::Message::JOIN_REQUEST:
      return JoinRequest{.member_ = Decode(reader.getJoinRequest(), enums)};
    case wire::Message::JOIN_REPLY:
      return JoinReply{.members_ = Decode(reader.getJoinReply(), enums)};
    case wire::Message::HAND_OVER_REQUEST:
      return Decode(reader.getHandOverRequest(), enums);
    case wire::Message::HAND_OVER_REPLY:
      return HandOverReply{.accepted_ = reader.getHandOverReply()};
    case wire::Message::REFUSAL:
      return PeerRefusal{
          .reason_ = enums.Read<Reason>(reader.getRefusal(), kLastReason)};
  }
  return std::nullopt;
}

}  // namespace

void EncodeMessage(const PeerMessage& message, wire::Message::Builder builder) {
  std::visit(MessageEncoder{builder}, message);
}

std::optional<PeerMessage> DecodeMessage(wire::Message::Reader reader) {
  EnumDecoder enums;
  std::optional<PeerMessage> message = DecodeKind(reader, enums);
  if (!enums.ok_) return std::nullopt;
  return message;
}

}  // namespace jujubefront
