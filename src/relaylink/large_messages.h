#ifndef JUJUBEFRONT_RELAYLINK_LARGE_MESSAGES_H_
#define JUJUBEFRONT_RELAYLINK_LARGE_MESSAGES_H_

#include <deque>
#include <optional>
#include <string>

#include "relaylink/link_codec.h"

namespace jujubefront {

// Messages above this size are sent in fragments of it, between which other
// messages can pass.
inline constexpr std::size_t kMaxFragmentBytes = 64 * 1024;

// Large messages that wait to be sent in fragments on one connection.
class FragmentQueue {
 public:
  void Push(const LinkMessage& message);
  // The next fragment, or nullopt if nothing waits.
  std::optional<LinkFragment> Next();
  // Drops the order with this id, if it has not been sent completely, and then
  // returns true.
  bool Cancel(std::uint64_t send_id);
  // Bytes that wait.
  std::size_t size() const { return size_; }
  // Those of them whose body does not count in a MessageMemory.
  std::size_t uncounted_size() const;

 private:
  struct Waiting {
    EncodedLinkMessage encoded_;
    std::uint64_t order_id_ = 0;  // 0: not a run order
    std::uint64_t reply_id_ = 0;  // 0: not a reply
    bool aborted_ = false;        // only the receiver must be told
  };

  std::deque<Waiting> waiting_;
  std::size_t sent_ = 0;  // bytes of the first one
  std::size_t size_ = 0;
};

// What a fragment has led to.
struct AddedFragment {
  std::optional<SharedBytes> message_;  // encoded, if the fragment completes it
  bool malformed_ = false;              // the message is too long
  // There is no memory for the message that has begun; its other fragments
  // will be dropped.
  bool refused_ = false;
};

// Joins the fragments that arrive on one connection.
class FragmentAssembler {
 public:
  // Messages count in `memory`, also while they are incomplete; nullptr:
  // unlimited.
  explicit FragmentAssembler(MessageMemory* memory = nullptr)
      : memory_(memory), charge_(memory) {}

  AddedFragment Add(const LinkFragment& fragment);

  // Bytes of the message that is incomplete.
  std::size_t size() const { return encoded_.size(); }

 private:
  void Reset(bool drops);

  MessageMemory* memory_;
  MemoryCharge charge_;
  std::string encoded_;
  std::size_t total_bytes_ = 0;  // stated in the first fragment
  MemoryClaim claim_ = MemoryClaim::kControl;
  bool drops_ = false;  // until the last fragment of a message
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAYLINK_LARGE_MESSAGES_H_
