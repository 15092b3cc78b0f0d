#ifndef JUJUBEFRONT_ALLOCATION_TREE_SUCCESS_H_
#define JUJUBEFRONT_ALLOCATION_TREE_SUCCESS_H_

namespace jujubefront {

// Admission for the case that all backend servers of a service reject a share
// of the requests, whether slots are free or not. A tree of many calls then
// rarely completes, and uses slots and retries until it fails.

// Share of call trees that complete when each makes `runs` sequential runs at a
// service that rejects the share `rejected` of arrivals, and the retries there
// (`retry_ratio` per first arrival) go to as many trees as they can complete.
double TreeCompletionShare(double rejected, double runs, double retry_ratio);

// Share of requests to admit, given the share of their call trees that
// completes. Where nearly none would complete, it is better to refuse a request
// immediately with a time to retry. A few are still admitted, to detect when
// the rejections end.
double ShareWorthAdmitting(double completion_share);

// Shares of new and of returning requests to admit. A returning request was
// refused earlier and is sent again after the time that the refusal gave;
// returning requests are admitted first.
struct AdmissionSplit {
  double fresh_ = 1.0;
  double returning_ = 1.0;
};
// Splits an admitted `fraction` of all requests, of which `returning_share` are
// returning ones, so that the fraction over both kinds stays the same.
AdmissionSplit SplitAdmission(double fraction, double returning_share);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_ALLOCATION_TREE_SUCCESS_H_
