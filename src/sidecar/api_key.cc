#include "sidecar/api_key.h"

#include <QByteArray>
#include <QCryptographicHash>
#include <QMessageAuthenticationCode>
#include <QRandomGenerator>
#include <array>
#include <cstring>

namespace jujubefront {
namespace {

QByteArray DrawSecret() {
  std::array<quint32, 8> words{};
  QRandomGenerator::system()->fillRange(words.data(), words.size());
  return {reinterpret_cast<const char*>(words.data()),
          static_cast<qsizetype>(sizeof(words))};
}

}  // namespace

Fingerprint HashApiKey(std::string_view key) {
  static const QByteArray kSecret = DrawSecret();
  const QByteArray hash = QMessageAuthenticationCode::hash(
      QByteArray::fromRawData(key.data(), static_cast<qsizetype>(key.size())),
      kSecret, QCryptographicHash::Sha256);
  Fingerprint fingerprint;
  std::memcpy(&fingerprint.high_, hash.constData(), sizeof(std::uint64_t));
  std::memcpy(&fingerprint.low_, hash.constData() + sizeof(std::uint64_t),
              sizeof(std::uint64_t));
  return fingerprint;
}

}  // namespace jujubefront
