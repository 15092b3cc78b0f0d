#include "relaylink/large_messages.h"

#include <algorithm>
#include <utility>

namespace jujubefront {

void FragmentQueue::Push(std::string encoded, std::uint64_t send_id) {
  size_ += encoded.size();
  waiting_.push_back({.encoded_ = std::move(encoded), .send_id_ = send_id});
}

std::optional<LinkFragment> FragmentQueue::Next() {
  if (waiting_.empty()) return std::nullopt;
  const Waiting& first = waiting_.front();
  LinkFragment fragment{.aborted_ = first.aborted_};
  if (!first.aborted_) {
    fragment.data_ = first.encoded_.substr(sent_, kMaxFragmentBytes);
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

bool FragmentQueue::Cancel(std::uint64_t send_id) {
  if (send_id == 0) return false;
  const auto found = std::find_if(
      waiting_.begin(), waiting_.end(),
      [&](const Waiting& waiting) { return waiting.send_id_ == send_id; });
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

std::optional<std::string> FragmentAssembler::Add(const LinkFragment& fragment,
                                                  bool& malformed) {
  if (fragment.aborted_) {
    encoded_ = {};
    return std::nullopt;
  }
  malformed = encoded_.size() + fragment.data_.size() > kMaxLinkMessageBytes;
  if (malformed) return std::nullopt;
  encoded_ += fragment.data_;
  if (!fragment.last_) return std::nullopt;
  return std::exchange(encoded_, {});
}

}  // namespace jujubefront
