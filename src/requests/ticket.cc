#include "requests/ticket.h"

#include <charconv>

namespace jujubefront {

std::string FormatTicket(const Ticket& ticket) {
  return ticket.target_ + "/" + std::to_string(ticket.incarnation_);
}

std::optional<Ticket> ParseTicket(std::string_view text) {
  const std::size_t slash = text.rfind('/');
  if (slash == std::string_view::npos || slash == 0) return std::nullopt;
  const std::string_view digits = text.substr(slash + 1);
  Ticket ticket{.target_ = std::string(text.substr(0, slash))};
  const char* end = digits.data() + digits.size();
  const auto [parsed, error] =
      std::from_chars(digits.data(), end, ticket.incarnation_);
  if (error != std::errc() || parsed != end) return std::nullopt;
  return ticket;
}

}  // namespace jujubefront
