/**
 * Schema of the configuration declared by operators: services, upstreams,
 * sites and workspaces. Input is validated here once; the rest of the code
 * relies on the types.
 */
import { z } from "zod/v4";

const MAX_PERCENT = 100;
const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, "expected a-z, 0-9, '.', '_', '-'");
const address = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, "expected IP:port");
const positive = z.number().positive();

export const URGENCIES = ["urgent", "normal", "batch"] as const;

/** Urgency of a request class, most urgent first. */
export type Urgency = (typeof URGENCIES)[number];

export const REPEAT_POLICIES = ["safe", "never"] as const;

/** Whether a request that may have been executed can be retried. */
export type RepeatPolicy = (typeof REPEAT_POLICIES)[number];

export const ROLES = ["mixed", "prefill", "decode"] as const;

/** Kind of work that a model engine is set up for. */
export type Role = (typeof ROLES)[number];

const requestClass = z.strictObject({
  name,
  urgency: z.enum(URGENCIES),
  /** Maximum time from arrival to the end of the answer, ms. */
  deadlineMs: z.number().int().min(10).max(3_600_000),
  repeat: z.enum(REPEAT_POLICIES).default("safe"),
  /** Assigns requests without a class header to this class. */
  match: z
    .strictObject({
      method: z.enum(["GET", "POST", "PUT", "DELETE", "PATCH"]),
      path: z.string().startsWith("/"),
    })
    .optional(),
});

const upstream = z.strictObject({
  id: name,
  vm: name,
  site: name,
  /** Address at which its side process receives requests. */
  dataAddress: address,
  /** Address at which its side process receives calls from other processes. */
  peerAddress: address,
});

const capacity = z.strictObject({
  /** Prefill throughput of a mixed engine, prompt tokens per second. */
  prefillTokensPerSecond: positive.default(8000),
  /** Decode throughput of one sequence on a mixed engine, tokens per second. */
  decodeTokensPerSecond: positive.default(40),
  /** Maximum number of concurrent sequences per engine. */
  maxSequences: z.number().int().min(1).default(32),
  /** Capacity of an engine's prefix cache, prompt tokens. */
  cacheTokens: z.number().int().min(0).default(65_536),
});

const rolePolicy = z.strictObject({
  /** Minimum relative goodput gain that justifies a role change, 0 to 1. */
  changeCost: z.number().min(0).max(1).default(0.1),
  /** Minimum time between two role changes of one service, ms. */
  dwellMs: z.number().int().min(0).default(60_000),
  /** Time horizon over which the gain is estimated, ms. */
  horizonMs: z.number().int().min(1000).default(120_000),
  /** Minimum number of engines in the role mixed. */
  mixedFloor: z.number().int().min(0).default(2),
  /** False: only operators change roles. */
  automatic: z.boolean().default(true),
});

export const serviceSchema = z
  .strictObject({
    name,
    kind: z.enum(["model", "plain"]),
    models: z.array(z.strictObject({ name, version: name })).default([]),
    /** Path prefixes of a plain service. */
    paths: z.array(z.string().startsWith("/")).default([]),
    classes: z.array(requestClass).min(1),
    defaultClass: name,
    capacity: capacity.prefault({}),
    roles: rolePolicy.prefault({}),
    /** Percentage of the traffic per site; absent: by capacity. */
    shares: z.record(name, z.number().min(0).max(MAX_PERCENT)).optional(),
    upstreams: z.array(upstream).max(2000),
  })
  .superRefine((service, ctx) => {
    const classNames = service.classes.map((item) => item.name);
    if (!classNames.includes(service.defaultClass)) {
      ctx.addIssue({
        code: "custom",
        path: ["defaultClass"],
        message: `names no class; expected one of ${classNames.join(", ")}`,
      });
    }
    if (service.kind === "model" && service.models.length === 0) {
      ctx.addIssue({
        code: "custom",
        path: ["models"],
        message: "a model service needs at least one model",
      });
    }
    if (service.kind === "plain" && service.paths.length === 0) {
      ctx.addIssue({
        code: "custom",
        path: ["paths"],
        message: "a plain service needs at least one path",
      });
    }
    if (service.shares !== undefined) {
      const sum = Object.values(service.shares).reduce((a, b) => a + b, 0);
      if (Math.abs(sum - MAX_PERCENT) > 0.01) {
        ctx.addIssue({
          code: "custom",
          path: ["shares"],
          message: `shares must add up to 100, not ${sum}`,
        });
      }
    }
  });

export const fleetSchema = z.strictObject({
  name,
  sites: z.array(z.strictObject({ name, region: name, domain: name })),
  /** Relative weight of each workspace; 1 if not listed. */
  workspaces: z.array(z.strictObject({ name, weight: positive })).default([]),
});

export const configSchema = z
  .strictObject({
    fleet: fleetSchema,
    services: z.array(serviceSchema).min(1),
  })
  .superRefine((config, ctx) => {
    const sites = new Set(config.fleet.sites.map((site) => site.name));
    const seen = new Set<string>();
    config.services.forEach((service, index) => {
      service.upstreams.forEach((item, at) => {
        const path = ["services", index, "upstreams", at];
        if (!sites.has(item.site)) {
          ctx.addIssue({
            code: "custom",
            path: [...path, "site"],
            message: `unknown site "${item.site}"`,
          });
        }
        if (seen.has(item.id)) {
          ctx.addIssue({
            code: "custom",
            path: [...path, "id"],
            message: `upstream "${item.id}" is declared twice`,
          });
        }
        seen.add(item.id);
      });
    });
  });

export type Service = z.infer<typeof serviceSchema>;
export type Upstream = Service["upstreams"][number];
export type RequestClass = Service["classes"][number];
export type Fleet = z.infer<typeof fleetSchema>;
export type Config = z.infer<typeof configSchema>;
