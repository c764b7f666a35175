/// @file
/// Time of one judgement of all nodes, as made after each change of the directory's table.
#include "membership/failure_detector.h"

#include <chrono>
#include <cstdio>
#include <string>

namespace {

using namespace shedshed;

constexpr int kJudgements = 20;

void measure(int count) {
  FailureDetector detector{DirectoryOptions()};
  std::vector<NodeInfo> nodes;
  for (int i = 0; i < count; ++i) {
    NodeInfo node;
    node.id = NodeId{"127.0.0.1:" + std::to_string(25000 + i)};
    node.incarnation = 1;
    nodes.push_back(node);
    detector.setSuspicions(node.id, {});
  }
  detector.setSuspicions(nodes[1].id, {{nodes[0].id, 1}});
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kJudgements; ++i) {
    std::vector<NodeInfo> judged = nodes;
    detector.evaluate(Time(std::chrono::seconds(i)), nodes[2].id, judged);
  }
  const std::chrono::duration<double, std::micro> passed = std::chrono::steady_clock::now() - begin;
  std::printf("{\"nodes\": %d, \"us_per_judgement\": %.1f}\n", count, passed.count() / kJudgements);
}

}  // namespace

int main() {
  for (const int count : {11, 50, 100, 200, 390}) {
    measure(count);
  }
  return 0;
}
