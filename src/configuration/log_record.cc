#include "configuration/log_record.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace jujubefront {
namespace {

QString ToQt(const std::string& text) { return QString::fromStdString(text); }

QJsonObject EncodeSection(const SectionInForce& section) {
  return {{"name", ToQt(section.name_)},
          {"version", static_cast<qint64>(section.version_)},
          {"id", ToQt(section.record_id_)},
          {"text", ToQt(section.text_)}};
}

// Incarnations use all 64 bits, which JSON numbers cannot represent.
QString EncodeIncarnation(std::uint64_t incarnation) {
  return QString::number(incarnation);
}

struct Encoder {
  QJsonObject operator()(const PublishRecord& record) const {
    return {{"kind", "publish"},
            {"id", ToQt(record.record_id_)},
            {"section", ToQt(record.section_)},
            {"author", ToQt(record.author_)},
            {"base", static_cast<qint64>(record.base_version_)},
            {"text", ToQt(record.text_)}};
  }
  QJsonObject operator()(const SnapshotRecord& record) const {
    QJsonArray sections;
    for (const SectionInForce& section : record.sections_) {
      sections.append(EncodeSection(section));
    }
    return {{"kind", "snapshot"},
            {"as_of", static_cast<qint64>(record.as_of_)},
            {"sections", sections}};
  }
  QJsonObject operator()(const AnnouncementRecord& record) const {
    return {{"kind", "announcement"},
            {"name", ToQt(record.name_)},
            {"incarnation", EncodeIncarnation(record.incarnation_)},
            {"zone", ToQt(record.zone_)},
            {"region", ToQt(record.region_)},
            {"service", ToQt(record.service_)},
            {"rpc", ToQt(record.rpc_address_)}};
  }
  QJsonObject operator()(const ForgetRecord& record) const {
    return {{"kind", "forget"},
            {"name", ToQt(record.name_)},
            {"incarnation", EncodeIncarnation(record.incarnation_)}};
  }
};

// Reads fields of one object and remembers whether any was missing.
struct FieldReader {
  const QJsonObject& object_;
  bool ok_ = true;

  std::string Text(const char* key) {
    const QJsonValue value = object_.value(QLatin1String(key));
    if (!value.isString()) ok_ = false;
    return value.toString().toStdString();
  }
  LogOffset Offset(const char* key) {
    const QJsonValue value = object_.value(QLatin1String(key));
    if (!value.isDouble()) ok_ = false;
    const qint64 offset = value.toInteger(kNoOffset);
    if (offset < kNoOffset) ok_ = false;
    return offset;
  }
  std::uint64_t Incarnation(const char* key) {
    bool is_number = false;
    const std::uint64_t value =
        object_.value(QLatin1String(key)).toString().toULongLong(&is_number);
    if (!is_number) ok_ = false;
    return value;
  }
};

template <typename Record>
std::optional<LogRecord> Accept(const FieldReader& reader, Record record) {
  if (!reader.ok_) return std::nullopt;
  return LogRecord(std::move(record));
}

std::optional<LogRecord> DecodePublish(FieldReader reader) {
  PublishRecord record{.record_id_ = reader.Text("id"),
                       .section_ = reader.Text("section"),
                       .author_ = reader.Text("author"),
                       .base_version_ = reader.Offset("base"),
                       .text_ = reader.Text("text")};
  if (record.record_id_.empty() || record.section_.empty()) return std::nullopt;
  return Accept(reader, std::move(record));
}

std::optional<LogRecord> DecodeSnapshot(FieldReader reader) {
  SnapshotRecord record{.as_of_ = reader.Offset("as_of")};
  const QJsonValue sections = reader.object_.value(QLatin1String("sections"));
  if (!sections.isArray()) return std::nullopt;
  for (const auto value : sections.toArray()) {
    const QJsonObject object = value.toObject();
    FieldReader section{object};
    record.sections_.push_back({.name_ = section.Text("name"),
                                .version_ = section.Offset("version"),
                                .record_id_ = section.Text("id"),
                                .text_ = section.Text("text")});
    if (!section.ok_) return std::nullopt;
  }
  return Accept(reader, std::move(record));
}

std::optional<LogRecord> DecodeAnnouncement(FieldReader reader) {
  AnnouncementRecord record{.name_ = reader.Text("name"),
                            .incarnation_ = reader.Incarnation("incarnation"),
                            .zone_ = reader.Text("zone"),
                            .region_ = reader.Text("region"),
                            .service_ = reader.Text("service"),
                            .rpc_address_ = reader.Text("rpc")};
  if (record.name_.empty()) return std::nullopt;
  return Accept(reader, std::move(record));
}

std::optional<LogRecord> DecodeForget(FieldReader reader) {
  ForgetRecord record{.name_ = reader.Text("name"),
                      .incarnation_ = reader.Incarnation("incarnation")};
  return Accept(reader, std::move(record));
}

}  // namespace

std::string EncodeLogRecord(const LogRecord& record) {
  const QJsonDocument document(std::visit(Encoder{}, record));
  return document.toJson(QJsonDocument::Compact).toStdString();
}

std::optional<LogRecord> DecodeLogRecord(std::string_view text) {
  if (text.size() > kMaxRecordBytes) return std::nullopt;
  const QByteArray bytes(text.data(), static_cast<qsizetype>(text.size()));
  const QJsonDocument document = QJsonDocument::fromJson(bytes);
  if (!document.isObject()) return std::nullopt;
  const QJsonObject object = document.object();
  const QString kind = object.value(QLatin1String("kind")).toString();
  const FieldReader reader{object};
  if (kind == QLatin1String("publish")) return DecodePublish(reader);
  if (kind == QLatin1String("snapshot")) return DecodeSnapshot(reader);
  if (kind == QLatin1String("announcement")) return DecodeAnnouncement(reader);
  if (kind == QLatin1String("forget")) return DecodeForget(reader);
  return std::nullopt;
}

}  // namespace jujubefront
