/**
 * What the gateway knows of routes, replicas and requests. A gateway is an
 * entry that reaches replicas without a side: see docs/PLATFORM.md.
 */
import type { Stage } from "../scheduling/index.js";
import type { CallerIdentity, Workspace } from "../workspaces/index.js";

export const ROUTE_KINDS = ["safe", "unsafe", "stream"] as const;

/** `safe` may run again; `unsafe` at most once; `stream` answers in events. */
export type RouteKind = (typeof ROUTE_KINDS)[number];

/** One service that a route leads to, and its share. */
export interface RouteTarget {
  service: string;
  weight: number;
}

/** One route of the configuration. */
export interface Route {
  name: string;
  /** Lower case, without a port. */
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** Longest time that a request may be held, ms. */
  timeoutMs: number;
  /** Time in which an answer, or its first event, is in time, ms. */
  objectiveMs: number;
  /**
   * Longest silence of a stream that callers bear, before its first event
   * too; unbounded where answers come whole, ms.
   */
  silenceMs: number;
  /** 0 is the most urgent. */
  priority: number;
  /** Replicas that may run one request at the most. */
  maxAttempts: number;
  /** Whether a cut stream may go on at another replica. */
  isResumable: boolean;
  /** Whether callers need no key of a workspace. */
  isPublic: boolean;
  targets: RouteTarget[];
}

/** Sizes of a service's engines; absent for plain services. */
export interface EngineSizes {
  slots: number;
  /** Tokens of KV cache that an engine holds. */
  kvCapacityTokens: number;
  /** How long a read prompt is kept for another engine, ms. */
  handleTtlMs: number;
  /** Time an engine is away while its stage changes, ms. */
  stageChangeMs: number;
}

/** One service of the configuration. */
export interface GatewayService {
  name: string;
  /** Connections that one replica takes from all callers together. */
  maxConnections: number;
  engine: EngineSizes | undefined;
}

/** Limits on what callers send. */
export interface CallerLimits {
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** A whole configuration, decoded. */
export interface GatewayConfig {
  version: number;
  routes: Route[];
  services: GatewayService[];
  limits: CallerLimits;
  /** Undefined: requests need no key, and heads pass as they are. */
  workspaces: Workspace[] | undefined;
}

export const REPLICA_STATES = ["ready", "draining"] as const;

export type ReplicaState = (typeof REPLICA_STATES)[number];

/** One running replica of a service. */
export interface Replica {
  /** Names one life: all that is known of a replica ends with it. */
  id: string;
  /** Under which it answers; a replica may keep it over a restart. */
  name: string;
  /** Start of this life, ms since 1970; undefined where it does not say. */
  bornAt: number | undefined;
  service: string;
  /** IP and port. */
  address: string;
  domain: string;
  slots: number;
  state: ReplicaState;
  /** Absent for plain services. */
  stage: Stage | undefined;
}

/** What an engine says of itself, some hundred ms late. */
export interface EngineReport {
  /** As in the list of replicas. */
  bornAt: number | undefined;
  stage: Stage;
  /** An order is being carried out. */
  isBusy: boolean;
  /** Orders that it has taken since its start. */
  orders: number;
  /** Requests that it works on, and that wait there. */
  running: number;
  waiting: number;
}

/** One part of a prompt, shared between requests by its id. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** What a request says of its prompt. */
export interface PromptShape {
  model: string;
  promptTokens: number;
  /** Most tokens of output, or the caller's better guess. */
  outputTokens: number;
  /** Upper limit of the output tokens. */
  mostOutputTokens: number;
  parts: PromptPart[];
}

/** The decoded head of a caller's request. */
export interface InboundHead {
  id: string;
  method: string;
  /** Lower case, without a port. */
  host: string;
  /** Path and query, as sent. */
  target: string;
  /** Time that the caller waits, ms; undefined if it did not say. */
  deadlineMs: number | undefined;
  prompt: PromptShape | undefined;
  /** Digest of the caller's key; undefined if it sent none. */
  keyDigest: string | undefined;
  /** Names and values in turn, as sent. */
  rawHeaders: readonly string[];
}

/** A prompt that another replica has read. */
export interface ReadHandle {
  /** Address of the replica that holds it. */
  address: string;
  id: string;
}

/** What one send to a replica asks for. */
export interface UpstreamSend {
  /** Only the replica of this name may take it. */
  replicaName: string;
  /** For whom it runs: replicas get a workspace's name, and no key. */
  claim: CallerIdentity;
  deadlineMs: number;
  /** `read`: the prompt alone; `run`: the answer. */
  phase: "read" | "run";
  /** The run goes on from this read prompt. */
  handle?: ReadHandle;
  /** Address of a replica whose cached parts it takes first. */
  cacheSource?: string;
  /** The run goes on after this event. */
  afterEventId?: string;
}

/** What an answer of a replica says of the replica itself. */
export interface ReplicaSignal {
  /** It is about to end. */
  isLeaving: boolean;
  /** It wants nothing from this process for so long, ms; 0 and less: none. */
  backOffMs: number | undefined;
  /** Text that asks for back-off and can't be read. */
  unreadBackOff?: string;
  /** Requests a second that it takes from all processes together. */
  limitPerS?: number;
  /** Text that names such a limit and can't be read. */
  unreadLimit?: string;
}

/** What the head of a replica's answer says. */
export interface ReplyHead {
  status: number;
  /** The replica states that the request did not run. */
  isNotRun: boolean;
  /** Another replica has this address now. */
  isMisdirected: boolean;
  /** The request that the answer belongs to. */
  requestId: string | undefined;
  isSigned: boolean;
  isEventStream: boolean;
  isEncoded: boolean;
  /** Its status tells a caller that nothing ran. */
  isPromise: boolean;
}
