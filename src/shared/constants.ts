/** Names shared by several folders. */

/** HTTP headers between callers, entries and sides, in lower case. */
export const HEADERS = {
  requestId: "x-request-id",
  idempotencyKey: "idempotency-key",
  /** Request class, one of those that the service declares. */
  className: "x-snowgate-class",
  /** Remaining time until the deadline, ms. A caller may only shorten it. */
  deadline: "x-snowgate-deadline-ms",
  workspace: "x-snowgate-workspace",
  /** Whether a failed request may have run; see `Verdict`. */
  verdict: "x-snowgate-verdict",
  /** Set when a stored response is replayed for the same idempotency key. */
  replayed: "x-snowgate-replayed",
  /** Between entry and side only; stripped from callers. */
  auth: "x-snowgate-auth",
  upstream: "x-snowgate-upstream",
  urgency: "x-snowgate-urgency",
  /** Number of tokens in the whole prompt. */
  promptTokens: "x-snowgate-prompt-tokens",
  outputTokens: "x-snowgate-output-tokens",
  /** Hashes of the prompt's prefixes, shortest first, comma-separated. */
  prefixes: "x-snowgate-prefixes",
  /** "export": read the prompt and keep its KV cache for another engine. */
  kvExport: "x-snowgate-kv-export",
  /** URL of the engine that holds the prompt's KV cache. */
  kvImport: "x-snowgate-kv-import",
  load: "x-snowgate-load",
  configNumber: "x-snowgate-config",
  /** Number of tokens that the caller already has when it resumes a stream. */
  resumeFrom: "x-snowgate-resume-from",
  retryAfterMs: "x-snowgate-retry-after-ms",
} as const;

/** Prefix of the system's own headers. */
export const INTERNAL_HEADER_PREFIX = "x-snowgate-";
