/**
 * Routes, replicas and requests as the gateway sees them. A gateway is an
 * entry process that calls replicas directly, without a side process in
 * between; see docs/PLATFORM.md.
 */
import type { Stage } from "../scheduling/index.js";
import type { CallerIdentity, Workspace } from "../workspaces/index.js";

export const ROUTE_KINDS = ["safe", "unsafe", "stream"] as const;

/**
 * `safe`: may be retried; `unsafe`: runs at most once; `stream`: the response
 * is an event stream.
 */
export type RouteKind = (typeof ROUTE_KINDS)[number];

/** A service that a route forwards to, and its share of the requests. */
export interface RouteTarget {
  service: string;
  weight: number;
}

/** A route of the configuration. */
export interface Route {
  name: string;
  /** Lower case, without a port. */
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** Request timeout, ms. */
  timeoutMs: number;
  /** Latency objective of the response or of its first event, ms. */
  objectiveMs: number;
  /**
   * Maximum time without an event on a stream, before the first event too, ms;
   * unbounded where responses are not streamed.
   */
  maxEventGapMs: number;
  /** 0 is the highest priority. */
  priority: number;
  /** Maximum number of replicas that may run one request. */
  maxAttempts: number;
  /** Whether an interrupted stream may be resumed on another replica. */
  isResumable: boolean;
  /** Whether the route is open to callers without a workspace key. */
  isPublic: boolean;
  targets: RouteTarget[];
}

/** Capacity and timing of a service's engines; absent for plain services. */
export interface EngineSettings {
  slots: number;
  /** KV cache capacity of an engine, tokens. */
  kvCapacityTokens: number;
  /** How long a prefilled prompt is kept for another engine, ms. */
  handleTtlMs: number;
  /** How long an engine is unavailable while it changes stage, ms. */
  stageChangeMs: number;
}

/** A service of the configuration. */
export interface GatewayService {
  name: string;
  /** Maximum connections to one replica, over all callers. */
  maxConnections: number;
  engine: EngineSettings | undefined;
}

/** Limits on callers' requests. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** A decoded configuration. */
export interface GatewayConfig {
  version: number;
  routes: Route[];
  services: GatewayService[];
  limits: CallerLimits;
  /** Undefined: requests need no key, and headers are forwarded unchanged. */
  workspaces: Workspace[] | undefined;
}

export const REPLICA_STATES = ["ready", "draining"] as const;

export type ReplicaState = (typeof REPLICA_STATES)[number];

/** A running replica of a service. */
export interface Replica {
  /**
   * Identifies one incarnation of the replica; state kept for it ends with it.
   */
  id: string;
  /** Name that the replica answers to; it may stay the same over a restart. */
  name: string;
  /** Start of the incarnation, ms since 1970; undefined if not reported. */
  startedAt: number | undefined;
  service: string;
  /** IP and port. */
  address: string;
  domain: string;
  slots: number;
  state: ReplicaState;
  /** Absent for plain services. */
  stage: Stage | undefined;
  /**
   * Version of the software that it runs, fixed for the incarnation; undefined
   * if not reported.
   */
  softwareVersion?: string;
}

/** An engine's report of its own state, a few hundred ms old. */
export interface EngineReport {
  /** Start time, as in `Replica`. */
  startedAt: number | undefined;
  stage: Stage;
  /** Whether the engine is executing a stage order. */
  isBusy: boolean;
  /** Stage orders accepted since the engine started. */
  orders: number;
  /** Requests being processed. */
  running: number;
  /** Requests queued at the engine. */
  waiting: number;
}

/** A part of a prompt; requests with the same part share its id. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** A request's description of its prompt. */
export interface PromptShape {
  model: string;
  promptTokens: number;
  /** The caller's estimate of output tokens, or the upper limit. */
  outputTokens: number;
  /** Upper limit of the output tokens. */
  mostOutputTokens: number;
  parts: PromptPart[];
}

/** A caller continues a stream of which it has received the first events. */
export interface Resumption {
  /** Id of the request that brought the first event; undefined if not named. */
  streamId: string | undefined;
}

/** The decoded request line and headers of a caller's request. */
export interface InboundHead {
  id: string;
  method: string;
  /** Lower case, without a port. */
  host: string;
  /** Path and query, as received. */
  target: string;
  /** Time that the caller waits, ms; undefined if not given. */
  deadlineMs: number | undefined;
  prompt: PromptShape | undefined;
  /** Undefined for a request that begins a stream or is none. */
  resumption?: Resumption;
  /** Digest of the caller's key; undefined if none was sent. */
  keyDigest: string | undefined;
  /** Alternating names and values, as received. */
  rawHeaders: readonly string[];
}

/** Refers to the KV cache of a prompt that another replica has prefilled. */
export interface PrefillHandle {
  /** Address of the replica that holds it. */
  address: string;
  id: string;
}

/** Parameters of one request to a replica. */
export interface UpstreamSend {
  /** Only the replica with this name may accept the request. */
  replicaName: string;
  /** On whose behalf: replicas get the workspace's name, never the key. */
  claim: CallerIdentity;
  deadlineMs: number;
  /** `read`: prefill the prompt only; `run`: generate the response. */
  phase: "read" | "run";
  /** Prefilled prompt from which the run starts. */
  handle?: PrefillHandle;
  /** Address of a replica to fetch cached prompt parts from first. */
  cacheSource?: string;
  /** Id of the event after which the run resumes. */
  afterEventId?: string;
}

/** What a replica's response says about the replica itself. */
export interface ReplicaSignal {
  /** The replica is about to shut down. */
  isLeaving: boolean;
  /**
   * How long this process must not send requests, ms; 0 or less: no back-off.
   */
  backOffMs: number | undefined;
  /** Back-off header that could not be parsed. */
  unreadBackOff?: string;
  /** Rate limit over all processes, requests per second. */
  limitPerS?: number;
  /** Rate limit header that could not be parsed. */
  unreadLimit?: string;
}

/** Decoded status and headers of a replica's response. */
export interface ReplyHead {
  status: number;
  /** Whether the replica states that the request did not run. */
  isNotRun: boolean;
  /** The address now belongs to another replica. */
  isMisdirected: boolean;
  /** Id of the request that this is the response to. */
  requestId: string | undefined;
  isSigned: boolean;
  /** Also true if no type is given. */
  isEventStream: boolean;
  isEncoded: boolean;
  /** Whether the status tells a caller that the request did not run. */
  statusMeansNotRun: boolean;
}
