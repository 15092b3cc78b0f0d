#ifndef JUJUBEFRONT_REVIEW_STANDIN_2_PLATFORM_H_
#define JUJUBEFRONT_REVIEW_STANDIN_2_PLATFORM_H_

#include <atomic>
#include <thread>
#include <vector>

#include "deployment.h"

namespace review {

// The platform's part: it kills a process that exceeds the memory of its
// machine, and starts it again.
class Platform {
 public:
  Platform(Deployment& deployment, Record& record);
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;
  ~Platform() { Stop(); }

  void Stop();
  // Whether processes ended three times on a tenth of the machines, two at
  // least.
  bool BreaksRule() const;
  void LogOutcome() const;

 private:
  void Watch();
  void KillIfOver(const Host& host, std::size_t& peak);

  Deployment& deployment_;
  Record& record_;
  std::vector<std::size_t> peaks_;  // KB
  std::vector<int> ends_;
  std::atomic<bool> over_ = false;
  std::thread thread_;
};

}  // namespace review

#endif  // JUJUBEFRONT_REVIEW_STANDIN_2_PLATFORM_H_
