#ifndef JUJUBEFRONT_REVIEW_STANDIN_BOOKING_CLIENTS_H_
#define JUJUBEFRONT_REVIEW_STANDIN_BOOKING_CLIENTS_H_

#include "deployment.h"

namespace review {

// Clients that send bookings (not idempotent) without a pause but a short one,
// each on the machine that it is given.
class BookingClients {
 public:
  explicit BookingClients(Record& record) : record_(record) {}
  ~BookingClients() { Stop(); }
  BookingClients(const BookingClients&) = delete;
  BookingClients& operator=(const BookingClients&) = delete;

  // Starts `count` clients on a machine.
  void Start(const Machine& machine, int count);
  void Stop();

  int sent() const { return sent_; }
  int answered() const { return answered_; }  // with 200
  int refused() const { return refused_; }    // with 503
  // 502, 504 or no complete answer.
  int failed() const { return failed_; }

 private:
  Record& record_;
  std::atomic<bool> done_ = false;
  std::atomic<int> sent_ = 0;
  std::atomic<int> answered_ = 0;
  std::atomic<int> refused_ = 0;
  std::atomic<int> failed_ = 0;
  std::vector<std::thread> threads_;
};

// Runs at a target that began after a time.
int CountRunsAfter(Target& target, Clock::time_point after);

}  // namespace review

#endif  // JUJUBEFRONT_REVIEW_STANDIN_BOOKING_CLIENTS_H_
