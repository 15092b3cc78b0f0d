#ifndef JUJUBEFRONT_MODEL_BACKEND_FAKE_H_
#define JUJUBEFRONT_MODEL_BACKEND_FAKE_H_

#include <string>
#include <utility>

#include "model/world.h"

namespace jujubefront {

// Simulates a backend server in virtual time: a limited number of slots,
// exponentially distributed work time, then child calls in sequence.
class BackendFake {
 public:
  BackendFake(World& world, std::string name)
      : world_(world), name_(std::move(name)) {}

  void Run(const RunBackend& run);
  void Abort(std::uint64_t run_id);
  // Breaks every request that is queued or running, and refuses new ones for
  // the duration `down`.
  void Crash(Duration down);

 private:
  World::ModelNode& Node() { return world_.nodes_.at(name_); }
  void Start(std::uint64_t run_id);
  void StartNext();
  void OnWorkDone(std::uint64_t run_id);
  void CallNextChild(std::uint64_t run_id);
  void Answer(std::uint64_t run_id, int status);
  void Release(std::uint64_t run_id);

  World& world_;
  std::string name_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_MODEL_BACKEND_FAKE_H_
