/** Service and upstream specifications shared by tests and benches. */

export const MODEL_SERVICE = {
  name: "parts-model",
  kind: "model",
  models: [{ name: "parts-8b", version: "1" }],
  classes: [
    { name: "lookup", urgency: "urgent", deadlineMs: 20_000 },
    { name: "draft", urgency: "normal", deadlineMs: 30_000 },
  ],
  defaultClass: "draft",
};

export const PLAIN_SERVICE = {
  name: "stock",
  kind: "plain",
  paths: ["/stock", "/reservations"],
  classes: [
    { name: "check", urgency: "normal", deadlineMs: 10_000 },
    {
      name: "reserve",
      urgency: "urgent",
      deadlineMs: 10_000,
      repeat: "never",
      match: { method: "POST", path: "/reservations" },
    },
  ],
  defaultClass: "check",
};

export const engineSpec = (id: string, overrides: object = {}) => ({
  id,
  service: "parts-model",
  kind: "engine" as const,
  site: "bilbao",
  options: { stepMs: 2, sequenceMs: 0.1, prefillTokensPerSecond: 100_000 },
  ...overrides,
});

export const plainSpec = (id: string, overrides: object = {}) => ({
  id,
  service: "stock",
  kind: "plain" as const,
  site: "bilbao",
  ...overrides,
});
