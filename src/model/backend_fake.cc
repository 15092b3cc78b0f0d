#include "model/backend_fake.h"

#include <cmath>

namespace jujubefront {
namespace {

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
// One-way delay between a node and the backend server on the same host.
constexpr Duration kHostDelay = std::chrono::microseconds(50);

}  // namespace

void BackendFake::Run(const RunBackend& run) {
  World::ModelNode& node = Node();
  BackendFakeState& backend = node.backend_;
  if (!backend.alive_) {
    const std::uint64_t process_number = node.process_number_;
    const BackendFailed failed{.run_id_ = run.run_id_,
                               .failure_ = BackendFailure::kNotSent};
    world_.At(world_.now_ + kHostDelay,
              [&world = world_, name = name_, process_number, failed] {
                world.DispatchEvent(name, process_number, failed);
              });
    return;
  }
  world_.totals_.runs_[run.context_.key_].push_back(
      {.node_ = name_, .at_ = world_.now_});
  ++world_.totals_.tries_by_root_[run.context_.root_key_];
  backend.jobs_[run.run_id_] = {.run_id_ = run.run_id_,
                                .context_ = run.context_};
  if (backend.busy_ < node.host_.backend_.slots_) {
    Start(run.run_id_);
  } else {
    backend.waiting_.push_back(run.run_id_);
  }
}

void BackendFake::Start(std::uint64_t run_id) {
  World::ModelNode& node = Node();
  BackendFakeState& backend = node.backend_;
  BackendJob& job = backend.jobs_.at(run_id);
  job.running_ = true;
  job.started_at_ = world_.now_;
  ++backend.busy_;
  const double mean = static_cast<double>(node.host_.backend_.work_.count()) *
                      backend.slowness_;
  const double time = -std::log(1.0 - NextUnit(world_.random_)) * mean;
  const std::uint64_t process_number = node.process_number_;
  world_.At(world_.now_ + Duration(static_cast<std::int64_t>(time)),
            [&world = world_, name = name_, process_number, run_id] {
              if (world.nodes_.at(name).process_number_ != process_number)
                return;
              BackendFake(world, name).OnWorkDone(run_id);
            });
}

void BackendFake::OnWorkDone(std::uint64_t run_id) {
  BackendFakeState& backend = Node().backend_;
  const auto found = backend.jobs_.find(run_id);
  if (found == backend.jobs_.end()) return;
  world_.totals_.work_by_root_[found->second.context_.root_key_] +=
      InSeconds(world_.now_ - found->second.started_at_);
  CallNextChild(run_id);
}

void BackendFake::CallNextChild(std::uint64_t run_id) {
  World::ModelNode& node = Node();
  const auto found = node.backend_.jobs_.find(run_id);
  if (found == node.backend_.jobs_.end()) return;
  BackendJob& job = found->second;
  const auto& children = node.host_.backend_.children_;
  if (job.next_child_ >= children.size()) return Answer(run_id, kOk);
  CallArrived call{.service_ = children[job.next_child_++],
                   .method_ = job.context_.method_,
                   .path_ = job.context_.path_,
                   .parent_run_ = run_id};
  const std::uint64_t process_number = node.process_number_;
  world_.SendCall(name_, std::move(call), kHostDelay,
                  [&world = world_, name = name_, process_number,
                   run_id](const AnswerCaller& answer) {
                    if (world.nodes_.at(name).process_number_ != process_number)
                      return;
                    BackendFake fake(world, name);
                    const bool ok =
                        answer.answer_.verdict_ == Verdict::kFinished &&
                        answer.answer_.http_status_ == kOk;
                    if (ok) return fake.CallNextChild(run_id);
                    fake.Answer(run_id, kBadGateway);
                  });
}

void BackendFake::Answer(std::uint64_t run_id, int status) {
  World::ModelNode& node = Node();
  if (!node.backend_.jobs_.contains(run_id)) return;
  Release(run_id);
  const std::uint64_t process_number = node.process_number_;
  BackendAnswered answered{.run_id_ = run_id, .http_status_ = status};
  world_.At(world_.now_ + kHostDelay,
            [&world = world_, name = name_, process_number, answered] {
              world.DispatchEvent(name, process_number, answered);
            });
}

void BackendFake::Release(std::uint64_t run_id) {
  BackendFakeState& backend = Node().backend_;
  const auto found = backend.jobs_.find(run_id);
  if (found->second.running_) {
    --backend.busy_;
  } else {
    std::erase(backend.waiting_, run_id);
  }
  backend.jobs_.erase(found);
  StartNext();
}

void BackendFake::StartNext() {
  World::ModelNode& node = Node();
  BackendFakeState& backend = node.backend_;
  while (backend.busy_ < node.host_.backend_.slots_ &&
         !backend.waiting_.empty()) {
    const std::uint64_t next = backend.waiting_.front();
    backend.waiting_.erase(backend.waiting_.begin());
    Start(next);
  }
}

void BackendFake::Abort(std::uint64_t run_id) {
  World::ModelNode& node = Node();
  if (!node.backend_.jobs_.contains(run_id)) return;
  const BackendJob& job = node.backend_.jobs_.at(run_id);
  if (job.running_) {
    world_.totals_.work_by_root_[job.context_.root_key_] +=
        InSeconds(world_.now_ - job.started_at_);
  }
  Release(run_id);
  const std::uint64_t process_number = node.process_number_;
  const BackendFailed failed{.run_id_ = run_id,
                             .failure_ = BackendFailure::kAborted};
  world_.At(world_.now_,
            [&world = world_, name = name_, process_number, failed] {
              world.DispatchEvent(name, process_number, failed);
            });
}

void BackendFake::Crash(Duration down) {
  World::ModelNode& node = Node();
  BackendFakeState& backend = node.backend_;
  const std::uint64_t process_number = node.process_number_;
  for (const auto& [run_id, job] : backend.jobs_) {
    const BackendFailed failed{.run_id_ = run_id,
                               .failure_ = BackendFailure::kBroken};
    world_.At(world_.now_ + kHostDelay,
              [&world = world_, name = name_, process_number, failed] {
                world.DispatchEvent(name, process_number, failed);
              });
  }
  const double slowness = backend.slowness_;
  backend = {.slowness_ = slowness, .alive_ = false};
  world_.At(world_.now_ + down, [&world = world_, name = name_] {
    world.nodes_.at(name).backend_.alive_ = true;
  });
}

}  // namespace jujubefront
