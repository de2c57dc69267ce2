/** Runs the control loops of the services whose lease this entry may hold. */
import type { ConfigKeeper } from "../config/index.js";
import { RankingCache } from "../membership/index.js";
import type { Membership } from "../membership/index.js";
import type { RolePlan } from "../roles/index.js";
import { errText } from "../shared/utils.js";
import { ControlLoop } from "./controlLoop.js";
import type { ControlLoopOptions } from "./controlLoop.js";

/** Number of entries that compete for a service's lease; others don't read it. */
const LEASE_CANDIDATES = 3;

export class ControlLoops {
  private readonly loops = new Map<string, ControlLoop>();
  private readonly entries: RankingCache;

  constructor(
    private readonly options: ControlLoopOptions,
    private readonly keeper: ConfigKeeper,
    private readonly membership: Membership,
  ) {
    this.entries = new RankingCache(
      membership,
      (item) => item.kind === "entry" && item.state === "alive",
    );
  }

  /** Runs one step of each loop; a failing loop doesn't block the others. */
  async step(): Promise<void> {
    const services = this.keeper.current?.config.services ?? [];
    const candidateServices = services.filter((service) =>
      this.isCandidate(service.name),
    );
    await Promise.all(
      candidateServices.map(async (service) => {
        try {
          await this.getOrCreateLoop(service.name).step(service);
        } catch (err) {
          const cause = errText(err);
          this.options.log.debug("control loop step failed", {
            service: service.name,
            cause,
          });
        }
      }),
    );
  }

  /** Latest role plan of a service; undefined if another entry holds its lease. */
  planOf(service: string): RolePlan | undefined {
    const loop = this.loops.get(service);
    return loop?.isHolder ? loop.lastPlan : undefined;
  }

  private isCandidate(service: string): boolean {
    const { self } = this.membership;
    if (self.state !== "alive") return false;
    return this.entries.isSelfRanked(`lease/${service}`, LEASE_CANDIDATES);
  }

  private getOrCreateLoop(service: string): ControlLoop {
    const existing = this.loops.get(service);
    if (existing !== undefined) return existing;
    const created = new ControlLoop(this.options);
    this.loops.set(service, created);
    return created;
  }
}
