/** Which pools would saturate if a zone were evacuated: model, forecast, plan, rehearsal, who drives it. */
package brackenbridge.fleet.evacuation;
