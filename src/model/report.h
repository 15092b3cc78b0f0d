#ifndef JUJUBEFRONT_MODEL_REPORT_H_
#define JUJUBEFRONT_MODEL_REPORT_H_

#include <optional>
#include <string>
#include <vector>

#include "model/model_types.h"

namespace jujubefront {

// Successful requests per second that ended in [from, to). An empty class name
// selects all classes.
double GoodputBetween(const ModelTotals& totals, Timestamp from, Timestamp to,
                      const std::string& class_name);

// Requests per second that were first sent in [from, to). An empty class name
// selects all classes.
double DemandBetween(const ModelTotals& totals, Timestamp from, Timestamp to,
                     const std::string& class_name);

// Share of the requests first sent in [from, to) that succeeded with their
// first send.
double FirstSendShare(const ModelTotals& totals, Timestamp from, Timestamp to);

// Time from `from` until the share of first sends that succeed is at least 99%
// of `before` and stays so until `to`, in steps of 250 ms. Empty if it does not
// recover.
std::optional<Duration> RecoveryTime(const ModelTotals& totals, Timestamp from,
                                     Timestamp to, double before);

// Time from `from` until the callers' sends, resends included, stay within the
// capacity. Before that no system could serve them all, so this is a lower
// bound of the recovery time.
Duration DemandExcessTime(const ModelTotals& totals, Timestamp from,
                          Timestamp to, double capacity);

// Share of the backend servers' work time spent on root requests that did not
// succeed.
double WastedShare(const ModelTotals& totals);

// Maximum number of runs at backend servers for one root key, including those
// of resends under the same key.
std::uint32_t MostTries(const ModelTotals& totals);

// Returns those of `keys` that ran more than once.
std::vector<RequestKey> KeysRunTwice(const ModelTotals& totals,
                                     const std::vector<RequestKey>& keys);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_MODEL_REPORT_H_
