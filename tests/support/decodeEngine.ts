/** A ready engine that decodes. */
import type { Replica } from "../../src/gateway/types.js";

export const DECODE_ENGINE: Replica = {
  id: "dec-1",
  name: "dec-1",
  startedAt: undefined,
  service: "model",
  address: "10.0.0.1:1",
  domain: "domain-1",
  slots: 1,
  state: "ready",
  stage: "decode",
};
