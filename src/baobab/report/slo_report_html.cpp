#include "baobab/report/slo_report.hpp"

#include <algorithm>
#include <cstdio>

namespace baobab {
namespace {

constexpr int kPlotWidth = 360;
constexpr int kPlotHeight = 60;

constexpr const char kHead[] =
  "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">"
  "<title>Service-level objectives</title><style>"
  "body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:64rem;"
  "color:#1d2327;padding:0 1rem}h1{font-size:1.4rem}"
  "table{border-collapse:collapse;width:100%;margin-bottom:2rem}"
  "th,td{text-align:right;padding:.35rem .6rem;border-bottom:1px solid #dde1e4}"
  "th:first-child,td:first-child{text-align:left}"
  ".page{color:#a4161a;font-weight:600}.ticket{color:#9a6700;font-weight:600}"
  ".ok{color:#1a7f37}.note{color:#59636e;font-size:.9rem}"
  "svg{background:#f6f8fa;display:block}</style>"
  "<h1>Service-level objectives</h1>";

std::string
Number(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof text, "%.2f", aValue);
  return text;
}

std::string
Cell(const std::string& aText)
{
  return "<td>" + aText + "</td>";
}

/// Returns a bar chart of the calls of the last six hours, one bar for each ten
/// minutes.
std::string
CallsChart(const BurnSeries& aSeries, StatusTime aNow)
{
  const BurnLevel& level = BurnSeries::kLevels[1];
  const BurnSeries::Buckets& buckets = aSeries.levels[1];
  std::uint64_t highest = 1;
  for (const auto& [number, count] : buckets) {
    highest = std::max(highest, count.Total());
  }
  const std::int64_t last = aNow / level.width;
  const double step =
    static_cast<double>(kPlotWidth) / static_cast<double>(level.bucketCount);
  std::string bars;
  const auto bar = [&](double aX, std::uint64_t aCount, const char* aColour) {
    const double height =
      kPlotHeight * static_cast<double>(aCount) / static_cast<double>(highest);
    bars += "<rect x=\"" + Number(aX) + "\" y=\"" +
            Number(kPlotHeight - height) + "\" width=\"" + Number(step * 0.8) +
            "\" height=\"" + Number(height) + "\" fill=\"" + aColour + "\"/>";
  };
  for (const auto& [number, count] : buckets) {
    const double x =
      static_cast<double>(number - last + level.bucketCount - 1) * step;
    bar(x, count.Total(), "#8fb9a8");
    bar(x, count.bad, "#a4161a");
  }
  return "<svg width=\"" + std::to_string(kPlotWidth) + "\" height=\"" +
         std::to_string(kPlotHeight) +
         "\" role=\"img\" aria-label=\"calls per ten minutes, bad ones in "
         "red\">" +
         bars + "</svg>";
}

std::string
ServiceRow(const SloServiceRow& aService)
{
  const std::string alert(Name(aService.burn.alert));
  std::string row = "<tr>" + Cell(aService.spec.name) +
                    Cell(Number(100 * aService.burn.budgetLeft) + " %");
  for (const double rate : aService.burn.rates) {
    row += Cell(Number(rate));
  }
  return row + "<td class=\"" + alert + "\">" + alert + "</td>" +
         Cell(RemedyFor(aService)) + "</tr>";
}

std::string
ServicePlot(const SloServiceRow& aService, StatusTime aNow)
{
  std::string counts;
  for (std::size_t i = 0; i < kCallClassCount; ++i) {
    counts += (i == 0 ? "" : ", ") + std::to_string(aService.status.calls[i]) +
              " " + std::string(Name(static_cast<CallClass>(i)));
  }
  return "<h2>" + aService.spec.name + "</h2>" +
         CallsChart(aService.status.series, aNow) + "<p class=\"note\">" +
         counts +
         "; calls per ten minutes over the last six hours, bad ones in "
         "red</p>";
}

}

std::string
SloReportHtml(const SloReport& aReport)
{
  std::string html = kHead;
  html += "<table><tr><th>service</th><th>budget left</th><th>burn 5 min</th>"
          "<th>1 h</th><th>6 h</th><th>3 days</th><th>alert</th>"
          "<th>what to do</th></tr>";
  for (const SloServiceRow& service : aReport.services) {
    html += ServiceRow(service);
  }
  html += "</table><table><tr><th>zone</th><th>generation</th><th>age</th>"
          "</tr>";
  for (const SloZoneRow& zone : aReport.zones) {
    html += "<tr>" + Cell(zone.zone) + Cell(std::to_string(zone.generation)) +
            Cell(std::to_string(zone.age.count()) + " s") + "</tr>";
  }
  html += "</table>";
  for (const SloServiceRow& service : aReport.services) {
    html += ServicePlot(service, aReport.generatedAt);
  }
  return html + "</html>\n";
}

}
