#include "sidecar/departure_record.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace jujubefront {
namespace {

constexpr const char* kDepartures = "departures";
constexpr const char* kInstance = "instance";
constexpr const char* kStartedAt = "started_at_ms";
constexpr const char* kCoversEarlierStarts = "covers_earlier_starts";
// Absent: no later heartbeat revokes the departure.
constexpr const char* kSequence = "sequence";
constexpr const char* kGone = "gone";
constexpr qint64 kNone = -1;

std::optional<Departure> DecodeDeparture(const QJsonObject& object) {
  const QString instance = object[kInstance].toString();
  const qint64 started_at_ms = object[kStartedAt].toInteger(kNone);
  const bool any_sequence = object[kSequence].isUndefined();
  const qint64 sequence = object[kSequence].toInteger(kNone);
  const bool valid = !instance.isEmpty() && started_at_ms >= 0 &&
                     (any_sequence || sequence >= 0) &&
                     object[kCoversEarlierStarts].isBool() &&
                     object[kGone].isBool();
  if (!valid) return std::nullopt;
  return Departure{
      .left_ = {.instance_ = instance.toStdString(),
                .started_at_ms_ = started_at_ms,
                .sequence_ = any_sequence
                                 ? kAnySequence
                                 : static_cast<std::uint64_t>(sequence),
                .gone_ = object[kGone].toBool()},
      .covers_earlier_starts_ = object[kCoversEarlierStarts].toBool()};
}

}  // namespace

std::string EncodeDepartureRecord(const std::vector<Departure>& departures) {
  QJsonArray encoded;
  for (const Departure& departure : departures) {
    const BackendLeft& left = departure.left_;
    QJsonObject object{{kInstance, QString::fromStdString(left.instance_)},
                       {kStartedAt, static_cast<qint64>(left.started_at_ms_)},
                       {kCoversEarlierStarts, departure.covers_earlier_starts_},
                       {kGone, left.gone_}};
    if (left.sequence_ != kAnySequence) {
      object[kSequence] = static_cast<qint64>(left.sequence_);
    }
    encoded.append(object);
  }
  return QJsonDocument(QJsonObject{{kDepartures, encoded}})
      .toJson(QJsonDocument::Compact)
      .toStdString();
}

std::optional<std::vector<Departure>> DecodeDepartureRecord(
    const std::string& record) {
  const QJsonObject object =
      QJsonDocument::fromJson(QByteArray::fromStdString(record)).object();
  if (!object[kDepartures].isArray()) return std::nullopt;
  std::vector<Departure> departures;
  for (const auto& value : object[kDepartures].toArray()) {
    const auto departure = DecodeDeparture(value.toObject());
    if (!departure) return std::nullopt;
    departures.push_back(*departure);
  }
  return departures;
}

}  // namespace jujubefront
