#ifndef JUJUBEFRONT_RELAYMODEL_RUN_RECORDS_H_
#define JUJUBEFRONT_RELAYMODEL_RUN_RECORDS_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <vector>

#include "relaymodel/fleet_types.h"

namespace jujubefront {

// Results of one run, for comparison with a later version.
struct RunRecord {
  std::string fleet_;
  std::string policy_;
  double worth_share_ = 0.0;
  double wasted_work_ = 0.0;
  double refused_late_ = 0.0;
};

// A file of records could not be read or written.
struct RecordsFileError {
  std::string path_;
};

// The records in a file were made with another load.
struct RecordsLoadMismatch {
  std::string path_;
  std::string load_;
};

// Describes the options that the load of a run depends on.
std::string DescribeLoad(const FleetRunOptions& options);

// Errors: RecordsFileError.
boost::leaf::result<void> SaveRecords(const std::string& path,
                                      const std::string& load,
                                      const std::vector<RunRecord>& records);

// Errors: RecordsFileError, RecordsLoadMismatch.
boost::leaf::result<std::vector<RunRecord>> LoadRecords(
    const std::string& path, const std::string& load);

// Returns the record of this fleet and policy, or null.
const RunRecord* FindRecord(const std::vector<RunRecord>& records,
                            const std::string& fleet,
                            const std::string& policy);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAYMODEL_RUN_RECORDS_H_
