#include "http_caller.h"

#include <QEventLoop>
#include <QNetworkProxy>
#include <QNetworkReply>

namespace jujubefront {

HttpCaller::HttpCaller(std::size_t managers) {
  for (std::size_t i = 0; i < managers; ++i) {
    managers_.push_back(std::make_unique<QNetworkAccessManager>());
    managers_.back()->setProxy(QNetworkProxy::NoProxy);
  }
}

void HttpCaller::Send(const CallerRequest& request, Handler handler) {
  QNetworkRequest network_request(QUrl(
      QString::fromStdString("http://" + request.address_ + request.path_)));
  for (const auto& [key, value] : request.headers_) {
    network_request.setRawHeader(QByteArray::fromStdString(key),
                                 QByteArray::fromStdString(value));
  }
  network_request.setTransferTimeout(static_cast<int>(
      std::chrono::duration_cast<std::chrono::milliseconds>(request.timeout_)
          .count()));
  if (!request.body_.empty()) {
    network_request.setHeader(QNetworkRequest::ContentTypeHeader,
                              "application/json");
  }
  QNetworkAccessManager& manager = *managers_[next_];
  next_ = (next_ + 1) % managers_.size();
  QNetworkReply* reply = manager.sendCustomRequest(
      network_request, QByteArray::fromStdString(request.method_),
      QByteArray::fromStdString(request.body_));
  connect(reply, &QNetworkReply::finished, this,
          [reply, handler = std::move(handler)] {
            reply->deleteLater();
            CallerAnswer answer{
                .status_ =
                    reply->attribute(QNetworkRequest::HttpStatusCodeAttribute)
                        .toInt(),
                .body_ = reply->readAll().toStdString()};
            for (const auto& [key, value] : reply->rawHeaderPairs()) {
              answer.headers_[key.toLower().toStdString()] =
                  value.toStdString();
            }
            handler(std::move(answer));
          });
}

CallerAnswer HttpCaller::Call(const CallerRequest& request) {
  QEventLoop loop;
  CallerAnswer result;
  Send(request, [&](CallerAnswer answer) {
    result = std::move(answer);
    loop.quit();
  });
  loop.exec();
  return result;
}

}  // namespace jujubefront
