/** Reads the platform's VM list and marks members on leaving VMs. */
import { z } from "zod/v4";

import type { ConfigKeeper } from "../config/index.js";
import { exchange } from "../http/index.js";
import type { Membership } from "../membership/index.js";
import { StoreError } from "../shared/errors.js";

const TIMEOUT_MS = 2000;

const vmListSchema = z.object({
  vms: z.array(
    z.object({ vm: z.string(), state: z.enum(["live", "leaving"]) }),
  ),
});

/** One VM in the platform's list, which may be stale. */
export type VmEntry = z.infer<typeof vmListSchema>["vms"][number];

/** The platform's VM list. Rejects with `StoreError` on a bad status. */
export interface VmList {
  read(): Promise<VmEntry[]>;
}

export class HttpVmList implements VmList {
  constructor(private readonly url: string) {}

  async read(): Promise<VmEntry[]> {
    const url = `${this.url}/vms`;
    const answer = await exchange({
      method: "GET",
      url,
      timeoutMs: TIMEOUT_MS,
    });
    if (answer.status !== 200) {
      throw new StoreError(`VM list: status ${answer.status}`);
    }
    return vmListSchema.parse(JSON.parse(answer.text)).vms;
  }
}

/** Marks the members whose VM is leaving as leaving. */
export const markLeavingVms = (
  vms: VmEntry[],
  keeper: ConfigKeeper,
  membership: Membership,
  now: number,
): void => {
  const leaving = new Set(
    vms.filter((item) => item.state === "leaving").map((item) => item.vm),
  );
  if (leaving.size === 0) return;
  for (const service of keeper.current?.config.services ?? []) {
    for (const upstream of service.upstreams) {
      if (!leaving.has(upstream.vm)) continue;
      const member = membership.get(upstream.id);
      if (member === undefined || member.state === "leaving") continue;
      membership.merge([{ ...member, state: "leaving" }], now);
    }
  }
};
