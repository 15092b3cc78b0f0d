#ifndef JUJUBEFRONT_OPERATIONS_CONTROL_CLIENT_H_
#define JUJUBEFRONT_OPERATIONS_CONTROL_CLIENT_H_

#include <boost/leaf/result.hpp>
#include <string>

#include "base/time_types.h"
#include "operations/operations_errors.h"

namespace jujubefront {

// Sends GET to a node's control address and returns the body. `key`: sent as a
// bearer token, as clients send theirs; empty: none.
// Errors: ControlUnreachable.
boost::leaf::result<std::string> FetchPage(const std::string& address,
                                           const std::string& path,
                                           Duration timeout,
                                           const std::string& key = "");

// Sends POST to a node's control address and returns the body.
// Errors: ControlUnreachable.
boost::leaf::result<std::string> PostPage(const std::string& address,
                                          const std::string& path,
                                          Duration timeout);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_OPERATIONS_CONTROL_CLIENT_H_
