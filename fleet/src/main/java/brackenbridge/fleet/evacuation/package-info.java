/** Evacuation of zones: pool model, saturation forecast, plan, rehearsal and the driver that carries the plan out. */
package brackenbridge.fleet.evacuation;
