/** Placement servers, clients and requests for tests, with silent callbacks. */
import {
  LocalPlacement,
  PlacementServer,
  StreamVersions,
} from "../../src/placement/index.js";
import type { PlacementClientOptions } from "../../src/placement/placementClient.js";
import type { PlacementServerOptions } from "../../src/placement/placementServer.js";
import { NO_LIMITS } from "../../src/rateLimits/index.js";
import type { EnginePermits } from "../../src/rateLimits/index.js";
import type {
  EngineView,
  PlacementRequest,
} from "../../src/scheduling/index.js";

const silent = () => undefined;
export const SILENT_LOG = {
  info: silent,
  warn: silent,
  error: silent,
  debug: silent,
};
export const SERVICE = "model";
export const now = () => performance.now();

/** Of a service whose replicas all run the same software. */
export const newStreamVersions = (): StreamVersions =>
  new StreamVersions({
    listedVersions: () => ["v1"],
    watchedMs: () => 0,
    listAgeMs: () => Infinity,
    maxAnswerMs: () => 0,
    now,
  });

export const newLocal = (
  engines: readonly EngineView[],
  permits: EnginePermits = NO_LIMITS,
  streams = newStreamVersions(),
  mayBeTold = () => false,
): LocalPlacement =>
  new LocalPlacement({
    engines: () => engines,
    sharingProcesses: () => 1,
    streams,
    mayBeTold,
    permits,
    log: SILENT_LOG,
    now,
  });

export const newServer = (
  placement: LocalPlacement,
  more: Partial<PlacementServerOptions> = {},
): PlacementServer =>
  new PlacementServer({
    placement,
    isEntry: false,
    isHolder: () => true,
    isFresh: () => true,
    leaseVersion: silent,
    configUpdate: silent,
    onEngineLeaving: silent,
    onNewHolder: silent,
    onUsage: silent,
    rates: () => [],
    onRate: silent,
    acquirePermit: () => ({ kind: "acquired" }),
    log: SILENT_LOG,
    ...more,
  });

export const clientOptions = (address: string): PlacementClientOptions => ({
  service: SERVICE,
  address,
  isStandby: false,
  onAccepted: silent,
  onDisconnected: silent,
  onState: silent,
  onConfig: silent,
  onRates: silent,
  onOrigins: silent,
  onShares: silent,
  takeRefused: () => [],
  onNewHolder: silent,
  onAnswerTime: silent,
  self: "entry",
  log: SILENT_LOG,
  now,
  leaseNow: now,
});

export const placementRequest = (id: string): PlacementRequest => ({
  id,
  service: "model",
  route: "lookup",
  domain: "one",
  workspace: "",
  model: "m",
  promptTokens: 100,
  outputTokens: 10,
  mostOutputTokens: 10,
  parts: [],
  objectiveLeftMs: 20_000,
  deadlineLeftMs: 20_000,
  answerLeftMs: 20_000,
  priority: 0,
  isReturn: false,
  isWhole: false,
  avoid: [],
  unavailable: [],
});
