/** Orders requests by the priorities of their workspace and of their route. */

/** Distinct route priorities within one priority of workspaces. */
const ROUTE_LEVELS = 3;
/** Least urgent rank; engines know the priorities 0 to 9. */
const MAX_RANK = 9;

/**
 * Rank of a request; 0 is the most urgent. A workspace's priority takes
 * precedence, and the route's orders the requests of equal workspaces: if it
 * were ignored there, an urgent question would wait behind bulk requests.
 */
export const urgencyRank = (
  workspacePriority: number | undefined,
  routePriority: number,
): number => {
  if (workspacePriority === undefined) return routePriority;
  const routeLevel = Math.min(ROUTE_LEVELS - 1, routePriority);
  return Math.min(MAX_RANK, workspacePriority * ROUTE_LEVELS + routeLevel);
};
