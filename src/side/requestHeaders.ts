/** Parses the headers with which an entry describes a request. */
import type http from "node:http";

import type { Arrival } from "../admission/index.js";
import { URGENCIES } from "../config/index.js";
import type { Urgency } from "../config/index.js";
import { HEADERS } from "../shared/constants.js";

type Value = string | string[] | undefined;

const numberOf = (value: Value): number => {
  const number = Number(value ?? 0);
  return Number.isFinite(number) && number >= 0 ? number : 0;
};

const urgencyOf = (value: Value): Urgency =>
  URGENCIES.find((item) => item === value) ?? "normal";

/** Parses the hashes of the prompt's prefixes, shortest first. */
export const parsePrefixes = (headers: http.IncomingHttpHeaders): string[] => {
  const value = headers[HEADERS.prefixes];
  return typeof value === "string" && value !== "" ? value.split(",") : [];
};

/**
 * Parses a request's properties for admission. `sequence` distinguishes
 * attempts of the same request; `cachedTokens` is the number of prompt tokens
 * that need no prefill.
 */
export const parseArrival = (
  headers: http.IncomingHttpHeaders,
  sequence: number,
  cachedTokens: number,
  now: number,
): Arrival => {
  const promptTokens = numberOf(headers[HEADERS.promptTokens]);
  return {
    id: `${String(headers[HEADERS.requestId])}/${sequence}`,
    workspace: String(headers[HEADERS.workspace] ?? ""),
    urgency: urgencyOf(headers[HEADERS.urgency]),
    prefillTokens: Math.max(0, promptTokens - cachedTokens),
    outputTokens: numberOf(headers[HEADERS.outputTokens]),
    deadlineAt: now + numberOf(headers[HEADERS.deadline]),
  };
};
