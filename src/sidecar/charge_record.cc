#include "sidecar/charge_record.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>

namespace jujubefront {
namespace {

using std::chrono::milliseconds;

constexpr const char* kSavedAt = "saved_at_ms";  // Unix time
constexpr const char* kCharges = "charges";
constexpr const char* kAge = "age_ms";  // when the record was saved
constexpr const char* kCaller = "caller";
constexpr const char* kIncarnation = "incarnation";
constexpr int kHexBase = 16;

// A JSON number holds only 53 bits of a hash.
QString FormatHash(std::uint64_t hash) {
  return QString::number(static_cast<qulonglong>(hash), kHexBase);
}

std::optional<std::uint64_t> ParseHash(const QJsonValue& value) {
  bool valid = false;
  const qulonglong hash = value.toString().toULongLong(&valid, kHexBase);
  if (!valid) return std::nullopt;
  return hash;
}

std::optional<milliseconds> ParseMilliseconds(const QJsonValue& value) {
  constexpr qint64 kNone = -1;
  const qint64 count = value.toInteger(kNone);
  if (count < 0) return std::nullopt;
  return milliseconds(count);
}

std::optional<ContentCharge> DecodeCharge(const QJsonObject& object,
                                          const Fingerprint& content,
                                          milliseconds kept_for) {
  const auto caller = ParseHash(object[kCaller]);
  const auto incarnation = ParseHash(object[kIncarnation]);
  const auto age = ParseMilliseconds(object[kAge]);
  if (!caller || !incarnation || !age) return std::nullopt;
  return ContentCharge{.content_ = content,
                       .caller_ = *caller,
                       .incarnation_ = *incarnation,
                       .age_ = *age + kept_for};
}

}  // namespace

std::string EncodeChargeRecord(WallTime now,
                               const std::vector<ContentCharge>& charges) {
  QJsonArray encoded;
  for (const ContentCharge& charge : charges) {
    const auto age = std::chrono::duration_cast<milliseconds>(charge.age_);
    encoded.append(QJsonObject{{kCaller, FormatHash(charge.caller_)},
                               {kIncarnation, FormatHash(charge.incarnation_)},
                               {kAge, static_cast<qint64>(age.count())}});
  }
  const QJsonObject record{
      {kSavedAt, static_cast<qint64>(now.time_since_epoch().count())},
      {kCharges, encoded}};
  return QJsonDocument(record).toJson(QJsonDocument::Compact).toStdString();
}

std::optional<std::vector<ContentCharge>> DecodeChargeRecord(
    WallTime now, const Fingerprint& content, const std::string& record) {
  const QJsonObject object =
      QJsonDocument::fromJson(QByteArray::fromStdString(record)).object();
  const auto saved_at = ParseMilliseconds(object[kSavedAt]);
  if (!saved_at || !object[kCharges].isArray()) return std::nullopt;
  // The clock of the host that saved the record may be ahead.
  const auto kept_for =
      std::max(now.time_since_epoch() - *saved_at, milliseconds::zero());
  std::vector<ContentCharge> charges;
  for (const auto& value : object[kCharges].toArray()) {
    const auto charge = DecodeCharge(value.toObject(), content, kept_for);
    if (!charge) return std::nullopt;
    charges.push_back(*charge);
  }
  return charges;
}

}  // namespace jujubefront
