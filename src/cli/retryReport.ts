/**
 * The window of each service in which most of its retry budget was used, summed
 * over the logs of all processes. Requests of a process that was killed before
 * it logged their end are missing.
 */
import { worstWindow } from "../shared/worstWindow.js";
import type { RetryLimits, RetryWindow } from "../shared/worstWindow.js";
import type { LogLine } from "./requestStory.js";

export type RetryReport = Map<string, RetryWindow>;

export const buildRetryReport = (
  lines: readonly LogLine[],
  limits: RetryLimits,
): RetryReport => {
  const times = new Map<string, { requests: number[]; retries: number[] }>();
  for (const { message, service, time, retries } of lines) {
    if (message !== "request" || typeof service !== "string") continue;
    const own = times.get(service) ?? { requests: [], retries: [] };
    times.set(service, own);
    const at = Date.parse(time);
    own.requests.push(at);
    const count = typeof retries === "number" ? retries : 0;
    for (let each = 0; each < count; each += 1) own.retries.push(at);
  }
  const report: RetryReport = new Map();
  for (const [service, { requests, retries }] of times) {
    const window = worstWindow(requests, retries, limits);
    if (window !== undefined) report.set(service, window);
  }
  return report;
};

export const renderRetryReport = (report: RetryReport): string =>
  [...report]
    .map(([service, { from, retries, requests, allowed }]) =>
      [
        service,
        `${retries} retries`,
        `${allowed.toFixed(0)} allowed for ${requests} requests`,
        `from ${new Date(from).toISOString()}`,
      ].join("  "),
    )
    .join("\n");
