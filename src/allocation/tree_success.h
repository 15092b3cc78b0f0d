#ifndef JUJUBEFRONT_ALLOCATION_TREE_SUCCESS_H_
#define JUJUBEFRONT_ALLOCATION_TREE_SUCCESS_H_

namespace jujubefront {

// Load pattern: all backend servers of a service reject a share of whatever
// arrives, free slots or not. A tree of many calls then seldom completes, and
// holds places and retries until it fails.

// Share of call trees that complete where each makes `runs` runs, one after
// the other, at a service that rejects `rejected` of what arrives, and the
// retries there (`retry_ratio` for each first arrival) go to as many trees as
// they can carry through.
double TreeCompletionShare(double rejected, double runs, double retry_ratio);

// Part of the requests to admit whose trees complete with this share. Where
// nearly none would, a request is better told at once to come back; some are
// admitted all the same, and their fate tells when the rejecting ends.
double ShareWorthAdmitting(double pass_share);

// Parts of new and of returning requests to admit, so that `fraction` of all
// is: who was refused, waited as told and came back goes first.
struct AdmissionSplit {
  double fresh_ = 1.0;
  double returning_ = 1.0;
};
AdmissionSplit SplitAdmission(double fraction, double returning_share);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_ALLOCATION_TREE_SUCCESS_H_
