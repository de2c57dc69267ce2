/** Names that several folders share. */

/** Headers between callers, entries and sides. All lower case. */
export const HEADERS = {
  requestId: "x-request-id",
  idempotencyKey: "idempotency-key",
  /** Class of the request, one that the service declares. */
  className: "x-snowgate-class",
  /** Budget that is left, ms. A caller may only tighten it. */
  deadline: "x-snowgate-deadline-ms",
  workspace: "x-snowgate-workspace",
  /** What is known of a failed request; see `Verdict`. */
  verdict: "x-snowgate-verdict",
  /** Set when a kept answer is given again to the same key. */
  replayed: "x-snowgate-replayed",
  /** Between entry and side only; stripped from callers. */
  auth: "x-snowgate-auth",
  upstream: "x-snowgate-upstream",
  urgency: "x-snowgate-urgency",
  /** Tokens of the whole prompt. */
  promptTokens: "x-snowgate-prompt-tokens",
  outputTokens: "x-snowgate-output-tokens",
  /** Hashes of the prompt's growing prefixes, comma between. */
  prefixes: "x-snowgate-prefixes",
  /** "export": read the prompt and keep its KV cache for another engine. */
  kvExport: "x-snowgate-kv-export",
  /** Where the prompt's KV cache is to be had, as URL of its engine. */
  kvImport: "x-snowgate-kv-import",
  load: "x-snowgate-load",
  configNumber: "x-snowgate-config",
  /** Tokens that the caller holds already, when a stream is resumed. */
  resumeFrom: "x-snowgate-resume-from",
  retryAfterMs: "x-snowgate-retry-after-ms",
} as const;

/** Prefix of headers that belong to the system. */
export const INTERNAL_HEADER_PREFIX = "x-snowgate-";
