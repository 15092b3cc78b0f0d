#include "model/deployments.h"

#include "configuration/log_record.h"

namespace jujubefront {
namespace {

constexpr char kClasses[] =
    "owner = \"model\"\n"
    "[classes.important]\ntier = 0\nidempotent = false\ndeadline = \"1s\"\n"
    "[classes.status]\ntier = 2\nidempotent = true\ndeadline = \"1s\"\n"
    "[classes.catalogue]\ntier = 3\nidempotent = true\ndeadline = \"1s\"\n";

std::string ServiceToml(const std::string& name) {
  return "[services." + name +
         "]\noperations = [\n"
         "{method = \"POST\", path = \"/\", class = \"important\"},\n"
         "{method = \"GET\", path = \"/\", class = \"status\"},\n"
         "{method = \"GET\", path = \"/catalogue\", class = \"catalogue\"}]\n";
}

struct HostLocation {
  const char* region_;
  const char* zone_;
};

constexpr HostLocation kHostLocations[] = {{"store", "store-a"},
                                           {"store", "store-b"},
                                           {"far", "far-a"},
                                           {"far", "far-b"}};

void AddService(Deployment& deployment, const std::string& service,
                const BackendModelSpec& backend) {
  for (const HostLocation& location : kHostLocations) {
    HostModel host{.backend_ = backend};
    host.node_.name_ = service + "-" + location.zone_;
    host.node_.region_ = location.region_;
    host.node_.zone_ = location.zone_;
    host.node_.service_ = service;
    host.node_.rpc_address_ = host.node_.name_;
    deployment.hosts_.push_back(std::move(host));
  }
  deployment.document_ += ServiceToml(service);
}

CallerCall Important(const std::string& service, double weight) {
  return {.service_ = service,
          .method_ = "POST",
          .path_ = "/",
          .class_name_ = "important",
          .idempotent_ = false,
          .weight_ = weight};
}

CallerCall Read(const std::string& service, const std::string& class_name,
                double weight) {
  return {.service_ = service,
          .path_ = class_name == "catalogue" ? "/catalogue" : "/",
          .class_name_ = class_name,
          .weight_ = weight};
}

double CapacityOf(const BackendModelSpec& backend) {
  return static_cast<double>(std::size(kHostLocations)) * backend.slots_ /
         InSeconds(backend.work_);
}

}  // namespace

Deployment BrolgaDeployment() {
  Deployment deployment{.name_ = "brolga", .document_ = kClasses};
  const BackendModelSpec leaf{.slots_ = 10,
                              .work_ = std::chrono::milliseconds(40)};
  AddService(deployment, "deposits",
             {.slots_ = 40,
              .work_ = std::chrono::milliseconds(5),
              .children_ = {"dispatch"}});
  AddService(deployment, "dispatch",
             {.slots_ = 40,
              .work_ = std::chrono::milliseconds(5),
              .children_ = {"repair-jobs"}});
  AddService(deployment, "repair-jobs", leaf);
  deployment.calls_ = {Important("deposits", 0.4),
                       Read("dispatch", "status", 0.4),
                       Read("dispatch", "catalogue", 0.2)};
  deployment.bottleneck_ = "repair-jobs";
  deployment.capacity_ = CapacityOf(leaf);
  return deployment;
}

Deployment FuktlanDeployment() {
  Deployment deployment{.name_ = "fuktlan", .document_ = kClasses};
  const BackendModelSpec leaf{.slots_ = 25,
                              .work_ = std::chrono::milliseconds(80)};
  AddService(deployment, "loan-booking",
             {.slots_ = 220,
              .work_ = std::chrono::milliseconds(10),
              .children_ = {"meter-catalogue"}});
  AddService(deployment, "meter-catalogue",
             {.slots_ = 220,
              .work_ = std::chrono::milliseconds(5),
              .children_ = {"moisture-readings"}});
  AddService(deployment, "moisture-readings", leaf);
  deployment.calls_ = {Important("loan-booking", 0.3),
                       Read("meter-catalogue", "status", 0.5),
                       Read("meter-catalogue", "catalogue", 0.2)};
  deployment.bottleneck_ = "moisture-readings";
  deployment.capacity_ = CapacityOf(leaf);
  return deployment;
}

Deployment ChainDeployment(std::size_t depth) {
  Deployment deployment{.name_ = "chain", .document_ = kClasses};
  BackendModelSpec backend{.slots_ = 20, .work_ = std::chrono::milliseconds(2)};
  for (std::size_t i = 0; i < depth; ++i) {
    backend.children_.clear();
    if (i + 1 < depth) backend.children_ = {"s" + std::to_string(i + 1)};
    AddService(deployment, "s" + std::to_string(i), backend);
  }
  deployment.calls_ = {Important("s0", 0.5), Read("s0", "status", 0.5)};
  deployment.bottleneck_ = "s" + std::to_string(depth - 1);
  deployment.capacity_ = CapacityOf(backend);
  return deployment;
}

void StartDeployment(World& world, const Deployment& deployment) {
  AppendTo(world.log(),
           EncodeLogRecord(PublishRecord{.record_id_ = "document",
                                         .section_ = "model",
                                         .author_ = "model",
                                         .text_ = deployment.document_}));
  for (const HostModel& host : deployment.hosts_) world.StartHost(host);
}

}  // namespace jujubefront
