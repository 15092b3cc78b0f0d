#include "relaylog/report.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>

namespace jujubefront {
namespace {

constexpr std::size_t kMaxSeries = 10;
constexpr int kWidth = 900;
constexpr int kChartHeight = 240;
constexpr int kMargin = 50;
constexpr int kLegendWidth = 260;
constexpr std::array<const char*, kMaxSeries> kColours = {
    "#1f77b4", "#d62728", "#2ca02c", "#ff7f0e", "#9467bd",
    "#8c564b", "#e377c2", "#7f7f7f", "#bcbd22", "#17becf"};

using SeriesByName = std::map<std::string, std::map<std::int64_t, double>>;

// The series with the largest sums; the remaining ones are added up into one
// named "others".
std::vector<ReportSeries> LargestSeries(const SeriesByName& all) {
  std::vector<std::pair<double, std::string>> order;
  for (const auto& [name, values] : all) {
    double sum = 0.0;
    for (const auto& [second, value] : values) sum += value;
    order.emplace_back(-sum, name);
  }
  std::sort(order.begin(), order.end());
  std::vector<ReportSeries> series;
  for (std::size_t i = 0; i < order.size(); ++i) {
    const auto& values = all.at(order[i].second);
    if (i + 1 < kMaxSeries || order.size() == kMaxSeries) {
      series.push_back({order[i].second, values});
      continue;
    }
    if (i + 1 == kMaxSeries) series.push_back({"others", {}});
    for (const auto& [second, value] : values) {
      series.back().values_[second] += value;
    }
  }
  return series;
}

struct Mean {
  double sum_ = 0.0;
  int count_ = 0;
};

double HighestValue(const ReportChart& chart) {
  double highest = 0.0;
  for (const ReportSeries& series : chart.series_) {
    for (const auto& [second, value] : series.values_) {
      highest = std::max(highest, value);
    }
  }
  return highest > 0.0 ? highest : 1.0;
}

std::string Escaped(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

void DrawSeries(std::ostringstream& svg, const ReportSeries& series,
                const char* colour, int top, double highest,
                std::int64_t seconds) {
  const double plot_width = kWidth - kLegendWidth - 2.0 * kMargin;
  const double plot_height = kChartHeight - 1.5 * kMargin;
  svg << "<polyline fill=\"none\" stroke=\"" << colour
      << "\" stroke-width=\"1.5\" points=\"";
  for (std::int64_t second = 0; second < seconds; ++second) {
    const auto found = series.values_.find(second);
    const double value = found == series.values_.end() ? 0.0 : found->second;
    const double span =
        static_cast<double>(std::max<std::int64_t>(1, seconds - 1));
    svg << kMargin + plot_width * static_cast<double>(second) / span << ','
        << top + kMargin / 2.0 + plot_height * (1.0 - value / highest) << ' ';
  }
  svg << "\"/>\n";
}

void DrawChart(std::ostringstream& svg, const ReportChart& chart, int top,
               std::int64_t seconds) {
  const double highest = HighestValue(chart);
  const int bottom = top + kChartHeight - kMargin;
  const int right = kWidth - kLegendWidth - kMargin;
  char label[32];
  std::snprintf(label, sizeof(label), "%.4g", highest);
  svg << "<text x=\"" << kMargin << "\" y=\"" << top + 15
      << "\" font-weight=\"bold\">" << Escaped(chart.title_) << " ("
      << Escaped(chart.unit_) << ")</text>\n"
      << "<path fill=\"none\" stroke=\"#444\" d=\"M" << kMargin << ' '
      << top + kMargin / 2 << "V" << bottom << "H" << right << "\"/>\n"
      << "<text x=\"4\" y=\"" << top + kMargin / 2 + 5 << "\">" << label
      << "</text>\n<text x=\"" << kMargin << "\" y=\"" << bottom + 15
      << "\">0 s</text>\n<text x=\"" << right - 20 << "\" y=\"" << bottom + 15
      << "\">" << seconds << " s</text>\n";
  int line = top + kMargin / 2;
  for (std::size_t i = 0; i < chart.series_.size(); ++i) {
    const char* colour = kColours.at(i % kMaxSeries);
    DrawSeries(svg, chart.series_[i], colour, top, highest, seconds);
    svg << "<text x=\"" << right + 15 << "\" y=\"" << line + 8 << "\" fill=\""
        << colour << "\">" << Escaped(chart.series_[i].name_) << "</text>\n";
    line += 16;
  }
}

}  // namespace

RelayReport MakeReport(const RelayLog& log) {
  RelayReport report;
  if (log.records_.empty()) return report;
  const Timestamp start = log.records_.front().common_time_;
  const auto second_of = [&](const LogLine& record) {
    return (record.common_time_ - start) / std::chrono::seconds(1);
  };
  double sample = 1.0;
  SeriesByName answered;
  SeriesByName failed;
  std::map<std::string, std::map<std::int64_t, Mean>> loads;
  for (const LogLine& record : log.records_) {
    const std::int64_t second = second_of(record);
    report.seconds_ = std::max(report.seconds_, second + 1);
    if (record.event_ == "start" && record.Number("trace_sample") > 0) {
      sample = record.Real("trace_sample");
    } else if (record.event_ == "answered") {
      answered[record.Text("route")][second] += sample;
    } else if (record.event_ == "refused" || record.event_ == "failed") {
      failed[record.event_ + ": " + record.Text("why")][second] +=
          1.0 + record.Real("dropped_before");
    } else if (record.event_ == "run_started" && record.Number("slots") > 0) {
      Mean& mean = loads[record.host_][second];
      mean.sum_ += record.Real("running") / record.Real("slots");
      ++mean.count_;
    }
  }
  SeriesByName load;
  for (const auto& [host, means] : loads) {
    for (const auto& [second, mean] : means) {
      load[host][second] = mean.sum_ / mean.count_;
    }
  }
  report.charts_ = {
      {"Answered, by route", "estimated, a second", LargestSeries(answered)},
      {"Refused and failed, by reason", "a second", LargestSeries(failed)},
      {"Slots in use at the start of a run, by host", "share",
       LargestSeries(load)}};
  return report;
}

std::string DrawReport(const RelayReport& report) {
  std::ostringstream svg;
  const int height =
      kChartHeight * static_cast<int>(report.charts_.size()) + kMargin;
  svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
      << "\" height=\"" << height
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  int top = kMargin / 2;
  for (const ReportChart& chart : report.charts_) {
    DrawChart(svg, chart, top, report.seconds_);
    top += kChartHeight;
  }
  svg << "</svg>\n";
  return svg.str();
}

}  // namespace jujubefront
