/** Runs the control loops of the services that this entry may hold. */
import type { ConfigKeeper } from "../config/index.js";
import { RankingCache } from "../membership/index.js";
import type { Membership } from "../membership/index.js";
import type { RolePlan } from "../roles/index.js";
import { errText } from "../shared/utils.js";
import { ControlLoop } from "./controlLoop.js";
import type { ControlLoopOptions } from "./controlLoop.js";

/** Entries that try for one service's lease; the others do not read it. */
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

  /** One step of each loop; a failing one does not hold the others up. */
  async step(): Promise<void> {
    const services = this.keeper.current?.config.services ?? [];
    const mine = services.filter((service) => this.isCandidate(service.name));
    await Promise.all(
      mine.map(async (service) => {
        try {
          await this.loopOf(service.name).step(service);
        } catch (err) {
          const cause = errText(err);
          this.options.log.debug("control loop waits", {
            service: service.name,
            cause,
          });
        }
      }),
    );
  }

  /** What this entry last decided about a service's roles. */
  planOf(service: string): RolePlan | undefined {
    const loop = this.loops.get(service);
    return loop?.isHolder ? loop.lastPlan : undefined;
  }

  private isCandidate(service: string): boolean {
    const { self } = this.membership;
    if (self.state !== "alive") return false;
    return this.entries.isSelfRanked(`lease/${service}`, LEASE_CANDIDATES);
  }

  private loopOf(service: string): ControlLoop {
    const known = this.loops.get(service);
    if (known !== undefined) return known;
    const fresh = new ControlLoop(this.options);
    this.loops.set(service, fresh);
    return fresh;
  }
}
