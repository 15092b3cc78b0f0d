#ifndef JUJUBEFRONT_DAEMON_DAEMON_ERRORS_H_
#define JUJUBEFRONT_DAEMON_DAEMON_ERRORS_H_

#include <string>

namespace jujubefront {

// A listening address could not be bound.
struct AddressUnavailable {
  std::string setting_;  // key of the setting that gives the address
  std::string address_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_DAEMON_DAEMON_ERRORS_H_
