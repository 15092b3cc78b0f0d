#include "relaylink/large_messages.h"

#include <algorithm>
#include <utility>

namespace jujubefront {

void FragmentQueue::Push(const LinkMessage& message) {
  Waiting waiting{.encoded_ = EncodeLargeLinkMessage(message)};
  if (const auto* order = std::get_if<RunOrder>(&message)) {
    waiting.order_id_ = order->send_id_;
  } else if (const auto* reply = std::get_if<RunReply>(&message)) {
    waiting.reply_id_ = reply->send_id_;
  }
  size_ += waiting.encoded_.size();
  waiting_.push_back(std::move(waiting));
}

std::optional<LinkFragment> FragmentQueue::Next() {
  if (waiting_.empty()) return std::nullopt;
  const Waiting& first = waiting_.front();
  LinkFragment fragment{.aborted_ = first.aborted_};
  if (!first.aborted_) {
    if (sent_ == 0) {
      fragment.total_bytes_ = first.encoded_.size();
      fragment.order_id_ = first.order_id_;
      fragment.reply_id_ = first.reply_id_;
    }
    fragment.data_ = first.encoded_.Copy(sent_, kMaxFragmentBytes);
    sent_ += fragment.data_.size();
    size_ -= fragment.data_.size();
    fragment.last_ = sent_ == first.encoded_.size();
  }
  if (fragment.last_ || fragment.aborted_) {
    waiting_.pop_front();
    sent_ = 0;
  }
  return fragment;
}

std::size_t FragmentQueue::uncounted_size() const {
  std::size_t total = 0;
  for (const Waiting& waiting : waiting_) {
    if (!waiting.encoded_.body_.counted()) total += waiting.encoded_.size();
  }
  return total;
}

bool FragmentQueue::Cancel(std::uint64_t send_id) {
  if (send_id == 0) return false;
  const auto found = std::find_if(
      waiting_.begin(), waiting_.end(),
      [&](const Waiting& waiting) { return waiting.order_id_ == send_id; });
  if (found == waiting_.end()) return false;
  const bool begun = found == waiting_.begin() && sent_ > 0;
  size_ -= found->encoded_.size() - (begun ? sent_ : 0);
  if (begun) {
    *found = {.aborted_ = true};
    sent_ = 0;
  } else {
    waiting_.erase(found);
  }
  return true;
}

AddedFragment FragmentAssembler::Add(const LinkFragment& fragment) {
  if (fragment.aborted_) {
    Reset(false);
    return {};
  }
  if (drops_) {
    drops_ = !fragment.last_;
    return {};
  }
  if (encoded_.empty()) {
    total_bytes_ = fragment.total_bytes_;
    claim_ = fragment.order_id_ != 0   ? MemoryClaim::kRequest
             : fragment.reply_id_ != 0 ? MemoryClaim::kResponse
                                       : MemoryClaim::kControl;
  }
  const std::size_t needed =
      std::max(total_bytes_, encoded_.size() + fragment.data_.size());
  if (needed > kMaxLinkMessageBytes) return {.malformed_ = true};
  if (needed > charge_.bytes() && !charge_.Set(needed, claim_)) {
    Reset(!fragment.last_);
    return {.refused_ = true};
  }
  encoded_.reserve(total_bytes_);
  encoded_ += fragment.data_;
  if (!fragment.last_) return {};
  SharedBytes message(std::move(encoded_), std::move(charge_));
  Reset(false);
  return {.message_ = std::move(message)};
}

void FragmentAssembler::Reset(bool drops) {
  encoded_ = {};
  charge_ = MemoryCharge(memory_);
  drops_ = drops;
}

}  // namespace jujubefront
