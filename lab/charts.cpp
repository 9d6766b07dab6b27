// Charts of an experiment, rendered as SVG by gnuplot.
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>
#include <stdexcept>

#include "lab/experiment.hpp"

namespace cedarplank::lab {
namespace {

namespace fs = std::filesystem;

// One curve of a chart.
struct Line {
  std::string title;
  std::vector<std::array<double, 3>> points;  // x, y, half width of the confidence interval
};

// Renders one chart to NAME.svg in the folder and keeps its data beside it as NAME.dat. `bars`: with error
// bars.
void draw(const fs::path& folder, const std::string& name, const std::string& title, const std::string& x,
          const std::string& y, const std::vector<Line>& lines, bool bars) {
  const fs::path data = folder / (name + ".dat"), script = folder / (name + ".gp");
  std::ofstream out(data);
  for (const auto& line : lines) {
    out << "\"" << line.title << "\"\n";
    for (const auto& p : line.points) out << p[0] << ' ' << p[1] << ' ' << p[2] << '\n';
    out << "\n\n";
  }
  out.close();
  std::ofstream gp(script);
  gp << "set terminal svg size 900,480 font 'sans,13' background '#ffffff'\nset output '"
     << (folder / (name + ".svg")).string() << "'\nset title '" << title << "' noenhanced\nset xlabel '" << x
     << "' noenhanced\nset ylabel '" << y
     << "' noenhanced\nset yrange [0:*]\nset grid lc rgb '#dddddd'\nset key outside right noenhanced\nplot ";
  for (std::size_t i = 0; i < lines.size(); i++) {
    if (i > 0) gp << ", ";
    gp << "'" << data.string() << "' index " << i << " using 1:2";
    if (bars)
      gp << ":3 with yerrorlines lw 2";
    else
      gp << " with lines lw 2";
    gp << " title '" << lines[i].title << "'";
  }
  gp << "\n";
  gp.close();
  const std::string command = "gnuplot '" + script.string() + "' 2>&1";
  FILE* pipe = popen(command.c_str(), "r");
  if (pipe == nullptr) throw std::runtime_error("gnuplot could not be started");
  std::string output;
  char buffer[256];
  while (std::fgets(buffer, sizeof buffer, pipe) != nullptr) output += buffer;
  if (pclose(pipe) != 0) throw std::runtime_error("gnuplot failed (Debian package gnuplot-nox): " + output);
  fs::remove(script);
}

// The mean over the seeds of a figure of each second.
template <class Get>
Line by_second(const std::string& title, const std::vector<const RunResult*>& cells, Get get) {
  Line line{title, {}};
  std::size_t most = 0;
  for (const auto* c : cells) most = std::max(most, c->seconds.size());
  for (std::size_t s = 0; s < most; s++) {
    std::vector<double> values;
    for (const auto* c : cells)
      if (s < c->seconds.size()) values.push_back(get(c->seconds[s]));
    const Mean m = mean_of(values);
    line.points.push_back({static_cast<double>(s), m.mean, m.half_width});
  }
  return line;
}

}  // namespace

std::vector<std::string> write_charts(const Experiment& e, const std::string& folder) {
  if (folder.find('\'') != std::string::npos)
    throw std::runtime_error("charts: the folder's name contains a single quote");
  fs::create_directories(folder);
  std::vector<std::string> names;
  const auto add = [&](const std::string& name, const std::string& title, const std::string& x,
                       const std::string& y, const std::vector<Line>& lines, bool bars) {
    draw(folder, name, title, x, y, lines, bars);
    names.push_back(name + ".svg");
  };
  std::vector<std::string> policies;
  std::vector<std::vector<Override>> settings;
  for (const auto& c : e.runs) {
    if (std::find(policies.begin(), policies.end(), c.policy) == policies.end()) policies.push_back(c.policy);
    const auto same = [&](const auto& s) {
      return std::equal(
          s.begin(), s.end(), c.settings.begin(), c.settings.end(),
          [](const Override& a, const Override& b) { return a.path == b.path && a.value == b.value; });
    };
    if (std::none_of(settings.begin(), settings.end(), same)) settings.push_back(c.settings);
  }
  // The runs of one policy with one combination of settings that finished without an error.
  const auto cells_of = [&](std::size_t setting, const std::string& policy) {
    std::vector<const RunResult*> found;
    for (const auto& c : e.runs) {
      bool same = c.policy == policy && c.error.empty() && c.settings.size() == settings[setting].size();
      for (std::size_t i = 0; same && i < c.settings.size(); i++)
        same = c.settings[i].value == settings[setting][i].value;
      if (same) found.push_back(&c);
    }
    return found;
  };
  // Over time, for the last setting: the hardest one in a sweep with rising values.
  const std::size_t last = settings.size() - 1;
  std::vector<Line> served, held, refused, by_class;
  for (const auto& policy : policies) {
    const auto cells = cells_of(last, policy);
    if (cells.empty()) continue;
    served.push_back(by_second(policy, cells, [](const auto& s) { return static_cast<double>(s.served); }));
    held.push_back(by_second(policy, cells, [](const auto& s) { return static_cast<double>(s.held); }));
    refused.push_back(
        by_second(policy, cells, [](const auto& s) { return static_cast<double>(s.refused_calls); }));
    if (policy != "ours") continue;
    for (std::size_t k = 0; k < cells[0]->classes.size(); k++)
      by_class.push_back(by_second(cells[0]->classes[k].name, cells, [k](const auto& s) {
        return k < s.served_by_class.size() ? static_cast<double>(s.served_by_class[k]) : 0;
      }));
  }
  if (!served.empty()) {
    served.push_back(by_second("asked", cells_of(last, policies[0]),
                               [](const auto& s) { return static_cast<double>(s.asked); }));
    add("served", "Served, " + e.where, "second", "messages a second", served, false);
    add("held", "Held by all relays, " + e.where, "second", "messages", held, false);
    add("refused", "Calls refused by partners, " + e.where, "second", "calls a second", refused, false);
  }
  if (!by_class.empty())
    add("by_class", "Served by class (ours), " + e.where, "second", "messages a second", by_class, false);
  if (settings.size() < 2) return names;
  // Over the first variable of the sweep: its value where that is a number, else its position.
  for (const std::string name : {"served", "in_aim", "p99_ms", "attempts", "refused_calls"}) {
    std::vector<Line> lines;
    for (const auto& policy : policies) {
      Line line{policy, {}};
      for (std::size_t s = 0; s < settings.size(); s++) {
        std::vector<double> values;
        for (const auto* c : cells_of(s, policy)) values.push_back(c->figures.at(name));
        if (values.empty()) continue;
        const Mean m = mean_of(values);
        char* end = nullptr;
        const double x = std::strtod(settings[s][0].value.c_str(), &end);
        line.points.push_back(
            {end == settings[s][0].value.c_str() ? static_cast<double>(s) : x, m.mean, m.half_width});
      }
      if (!line.points.empty()) lines.push_back(std::move(line));
    }
    if (!lines.empty()) add("sweep_" + name, name + ", " + e.where, settings[0][0].path, name, lines, true);
  }
  return names;
}

}  // namespace cedarplank::lab
