#ifndef JUJUBEFRONT_REQUESTS_TICKET_H_
#define JUJUBEFRONT_REQUESTS_TICKET_H_

#include <optional>
#include <string>
#include <string_view>

#include "membership/membership_types.h"

namespace jujubefront {

// The process that a key is bound to.
struct Ticket {
  std::string target_;
  Incarnation incarnation_ = 0;
};

// Formats a ticket as NAME/INCARNATION.
std::string FormatTicket(const Ticket& ticket);

// Parses a ticket. Returns nothing when it is malformed.
std::optional<Ticket> ParseTicket(std::string_view text);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_REQUESTS_TICKET_H_
