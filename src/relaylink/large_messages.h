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

// Encoded messages that wait to be sent in fragments on one connection.
class FragmentQueue {
 public:
  // `send_id`: of a run order, for Cancel; 0: none.
  void Push(std::string encoded, std::uint64_t send_id);
  // The next fragment, or nullopt if nothing waits.
  std::optional<LinkFragment> Next();
  // Drops the order with this id, if it has not been sent completely, and then
  // returns true.
  bool Cancel(std::uint64_t send_id);
  // Bytes that wait.
  std::size_t size() const { return size_; }

 private:
  struct Waiting {
    std::string encoded_;
    std::uint64_t send_id_ = 0;
    bool aborted_ = false;  // only the receiver must be told
  };

  std::deque<Waiting> waiting_;
  std::size_t sent_ = 0;  // bytes of the first one
  std::size_t size_ = 0;
};

// Joins the fragments that arrive on one connection.
class FragmentAssembler {
 public:
  // Adds a fragment. Returns the encoded message that it completes, if any, or
  // sets `malformed` if the message becomes too long.
  std::optional<std::string> Add(const LinkFragment& fragment, bool& malformed);

  // Bytes of the message that is incomplete.
  std::size_t size() const { return encoded_.size(); }

 private:
  std::string encoded_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAYLINK_LARGE_MESSAGES_H_
