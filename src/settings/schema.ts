/**
 * Schema of the settings of one process. `snowgated --reference` prints the
 * field descriptions; docs/SETTINGS.md contains its output.
 */
import { z } from "zod/v4";

import { POLICY_NAMES } from "../routing/index.js";
import { LOG_LEVELS } from "../telemetry/index.js";

const ADDRESS = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i;
const MIN_SECRET_LENGTH = 8;

const address = (what: string) =>
  z.string().regex(ADDRESS, "expected IP:port").describe(what);

const count = (what: string, value: number, low = 1, high = 1e9) =>
  z.number().int().min(low).max(high).default(value).describe(what);

const url = (what: string) =>
  z
    .string()
    .regex(/^http:\/\/[0-9.[\]:a-f]+$/i, "expected http://IP:port")
    .describe(what);

const common = {
  id: z
    .string()
    .regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, "expected a-z, 0-9, '.' and '-'")
    .describe("Name of this process, unique in the fleet"),
  site: z.string().min(1).describe("Site that the VM stands in"),
  domain: z.string().min(1).describe("Failure domain that the VM stands in"),
  objectApi: z
    .strictObject({
      url: url("Address of the platform's object API"),
      callsPerSecond: count(
        "Budget of calls a second, retries included; a never-repeat request " +
          "takes up to two at its entry",
        100,
      ),
      timeoutMs: count("Longest wait for one call, ms", 2000),
    })
    .describe("The platform's object API"),
  vmList: z
    .strictObject({
      url: url("Address of the platform's VM list"),
      pollMs: count("Pause between two reads, ms", 1000, 50),
    })
    .optional()
    .describe("The platform's VM list; without it only peers are asked"),
  peers: z
    .strictObject({
      secret: z
        .string()
        .min(MIN_SECRET_LENGTH)
        .describe("Shared secret of the processes of one fleet"),
      seeds: z
        .array(address("IP:port"))
        .default([])
        .describe("Peer addresses to ask at start"),
      periodMs: count("Pause between two exchanges with peers, ms", 1000, 20),
      fanout: count("Peers asked in one exchange", 2, 1, 8),
    })
    .describe("Exchange with the other processes"),
  statsd: address("StatsD address; none by default").optional(),
  logLevel: z.enum(LOG_LEVELS).default("info").describe("Least level logged"),
};

const limits = z
  .strictObject({
    maxBodyBytes: count("Largest request body, bytes", 4_194_304),
    maxAnswerBytes: count(
      "Largest answer that is held whole before it is passed on, bytes",
      8_388_608,
    ),
    maxHeaderBytes: count("Largest header block, bytes", 16_384, 1024),
    maxConnections: count("Open connections from callers", 10_000),
    memoryMb: count(
      "Memory that the VM has for the process, MB; callers may hold a part",
      512,
    ),
    maxFds: count("Descriptors that the process may have", 16_384, 1024),
  })
  .describe("Bounds on what a caller may send")
  .prefault({});

export const entrySchema = z.strictObject({
  role: z.literal("entry").describe("entry: takes callers' requests"),
  ...common,
  listen: z
    .strictObject({
      callers: address("Where callers connect (HTTP)"),
      operators: address("Where operators connect (HTTP)"),
      peers: address("Where other processes connect (gRPC)"),
    })
    .describe("Addresses that this process listens on; port 0 picks one"),
  limits,
  routingPolicy: z
    .enum(POLICY_NAMES)
    .default("expected-finish")
    .describe("How an upstream is chosen; the others are baselines"),
  operatorToken: z
    .string()
    .min(MIN_SECRET_LENGTH)
    .optional()
    .describe("Token of operators; without it every order is refused"),
  lameDuckMs: count(
    "Time between not-ready and closing the listener, ms",
    1000,
    0,
  ),
  leaseMs: count("How long a service's lease lasts unrenewed, ms", 6000, 200),
});

export const sideSchema = z.strictObject({
  role: z.literal("side").describe("side: the only door to one upstream"),
  ...common,
  listen: z
    .strictObject({
      data: address("Where entries send requests (HTTP)"),
      peers: address("Where other processes connect (gRPC)"),
    })
    .describe("Addresses that this process listens on; port 0 picks one"),
  limits,
  upstream: z
    .strictObject({
      id: z.string().min(1).describe("Upstream's id in the configuration"),
      service: z.string().min(1).describe("Service that it belongs to"),
      url: url("Address of the upstream, on this VM"),
      kind: z
        .enum(["engine", "plain"])
        .describe("engine: a model engine; plain: a plain service"),
      echoesRequestId: z
        .boolean()
        .default(true)
        .describe("Whether each answer carries the request id back"),
      checksFence: z
        .boolean()
        .default(true)
        .describe("Whether it refuses an order with an old fencing number"),
    })
    .describe("The upstream beside this process"),
  orderPollMs: count(
    "Pause between two readings of orders, in case every hint was lost, ms",
    30_000,
    100,
  ),
  orderWindowMs: count(
    "How long after its record is written an order may be sent, ms",
    1500,
    50,
  ),
});

export const settingsSchema = z.discriminatedUnion("role", [
  entrySchema,
  sideSchema,
]);

export type EntrySettings = z.infer<typeof entrySchema>;
export type SideSettings = z.infer<typeof sideSchema>;
export type Settings = EntrySettings | SideSettings;
